// Measures the resident memory and processor time of the binary over four numbers of workers, for `npm run slopes`.
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const SIZES = [29, 58, 116, 232];
const TICK_MS = 10;
const SETTLE_MS = 20_000;
const START_MS = 2_000;
const FIRST_PORT = 7500;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function settings(index) {
    const [platform, entry] = [FIRST_PORT + 2 * index, FIRST_PORT + 2 * index + 1];
    return [
        "instance: measured\nregion: north\nfailureDomain: one",
        `listen: 127.0.0.1:${entry}`,
        `platform: { log: "http://127.0.0.1:${platform}", instances: "http://127.0.0.1:${platform}" }`,
        "shards: { north: 2 }\nlog: { level: error }",
    ].join("\n");
}

/** User plus system time of a process, in clock ticks. */
function ticks(pid) {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
    return Number(fields[13]) + Number(fields[14]);
}

async function measure(size, index, folder) {
    const file = join(folder, `${size}.yaml`);
    writeFileSync(file, settings(index));
    const port = String(FIRST_PORT + 2 * index);
    const entry = `127.0.0.1:${FIRST_PORT + 2 * index + 1}`;
    const arguments_ = ["stand-in", "--port", port, "--workers", String(size), "--region", "north", "--entries", entry];
    const standIn = spawn("dist/wigeonstall", arguments_, { stdio: "ignore" });
    await sleep(START_MS);
    const instance = spawn("dist/wigeonstall", ["serve", "--settings", file], { stdio: "ignore" });
    await sleep(SETTLE_MS / 2);
    const before = ticks(instance.pid);
    await sleep(SETTLE_MS / 2);
    const cpu = ((ticks(instance.pid) - before) * TICK_MS) / (SETTLE_MS / 2);
    const status = readFileSync(`/proc/${instance.pid}/status`, "utf8");
    const read = name => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)[1]) / 1024;
    const [resident, own] = [read("VmRSS"), read("RssAnon")];
    instance.kill("SIGKILL");
    standIn.kill("SIGKILL");
    return { size, resident, own, cpu };
}

const folder = mkdtempSync(join(tmpdir(), "wigeonstall-"));
const points = await Promise.all(SIZES.map((size, index) => measure(size, index, folder)));
rmSync(folder, { recursive: true });
mkdirSync("out", { recursive: true });
writeFileSync("out/resident.json", JSON.stringify(points));
