// Measures the resident memory and CPU time of the binary with four numbers of workers, for `npm run slopes`.
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const WORKER_COUNTS = [29, 58, 116, 232];
// USER_HZ is 100 on Linux.
const CLOCK_TICK_MS = 10;
// CPU time is measured over the second half of the run.
const RUN_MS = 20_000;
const STAND_IN_START_MS = 2_000;
const FIRST_PORT = 7500;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function settingsFor(index) {
    const [platform, entry] = [FIRST_PORT + 2 * index, FIRST_PORT + 2 * index + 1];
    return [
        "instance: measured\nregion: north\nfailureDomain: one",
        `listen: 127.0.0.1:${entry}`,
        `platform: { log: "http://127.0.0.1:${platform}", instances: "http://127.0.0.1:${platform}" }`,
        "shards: { north: 2 }\nlog: { level: error }",
    ].join("\n");
}

/** User and system time of a process, in clock ticks. */
function cpuTicks(pid) {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
    return Number(fields[13]) + Number(fields[14]);
}

async function measure(size, index, folder) {
    const file = join(folder, `${size}.yaml`);
    writeFileSync(file, settingsFor(index));
    const port = String(FIRST_PORT + 2 * index);
    const entry = `127.0.0.1:${FIRST_PORT + 2 * index + 1}`;
    const standInArguments = [
        "stand-in",
        "--port",
        port,
        "--workers",
        String(size),
        "--region",
        "north",
        "--entries",
        entry,
    ];
    const standIn = spawn("dist/wigeonstall", standInArguments, { stdio: "ignore" });
    await sleep(STAND_IN_START_MS);
    const instance = spawn("dist/wigeonstall", ["serve", "--settings", file], { stdio: "ignore" });
    await sleep(RUN_MS / 2);
    const ticksBefore = cpuTicks(instance.pid);
    await sleep(RUN_MS / 2);
    const cpu = ((cpuTicks(instance.pid) - ticksBefore) * CLOCK_TICK_MS) / (RUN_MS / 2);
    const status = readFileSync(`/proc/${instance.pid}/status`, "utf8");
    const readMb = name => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)[1]) / 1024;
    const [resident, own] = [readMb("VmRSS"), readMb("RssAnon")];
    instance.kill("SIGKILL");
    standIn.kill("SIGKILL");
    return { size, resident, own, cpu };
}

const folder = mkdtempSync(join(tmpdir(), "wigeonstall-"));
const points = await Promise.all(WORKER_COUNTS.map((size, index) => measure(size, index, folder)));
rmSync(folder, { recursive: true });
mkdirSync("out", { recursive: true });
writeFileSync("out/resident.json", JSON.stringify(points));
