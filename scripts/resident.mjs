// Measures the resident memory of the binary over four numbers of workers, and rewrites its table of the capacity page.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const SIZES = [29, 58, 116, 232];
const TARGET_WORKERS = 116;
const LIMIT_MB = 64;
const LIMIT_CPU_PERCENT = 3.5;
const TICK_MS = 10;
const SETTLE_MS = 20_000;
const START_MS = 2_000;
const FIRST_PORT = 7500;
const PAGE = "docs/CAPACITY.md";
const BEGIN = "<!-- memory: begin -->";
const END = "<!-- memory: end -->";

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

/** Line through the points, its value at the target, and the verdict. */
function judge(points, name, limit, unit) {
    const mean = key => points.reduce((sum, each) => sum + each[key], 0) / points.length;
    const [meanSize, meanValue] = [mean("size"), mean(name)];
    const covariance = points.reduce((sum, each) => sum + (each.size - meanSize) * (each[name] - meanValue), 0);
    const slope = covariance / points.reduce((sum, each) => sum + (each.size - meanSize) ** 2, 0);
    const constant = meanValue - slope * meanSize;
    const squares = points.reduce((sum, each) => sum + (each[name] - constant - slope * each.size) ** 2, 0);
    const need = constant + slope * TARGET_WORKERS;
    const verdict = need <= limit ? "held" : `not held, by ${((need / limit - 1) * 100).toFixed(0)}%`;
    const residual = Math.sqrt(squares / points.length).toPrecision(2);
    const line = `${constant.toPrecision(3)} + ${slope.toPrecision(3)} a worker ${unit}, residual ${residual}`;
    return `${line}. With ${TARGET_WORKERS} workers ${need.toPrecision(3)} ${unit}; limit ${limit} ${unit}: ${verdict}.`;
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
const rows = points.map(
    each =>
        `| ${each.size} | ${each.resident.toFixed(0)} MB | ${each.own.toFixed(0)} MB | ${(each.cpu * 100).toFixed(1)}% |`,
);
const percent = points.map(each => ({ ...each, cpu: each.cpu * 100 }));
const memory = `Resident: ${judge(points, "resident", LIMIT_MB, "MB")}`;
const processor = `Processor, without tasks and requests: ${judge(percent, "cpu", LIMIT_CPU_PERCENT, "% of a core")}`;
console.log(`${memory}\n${processor}`);
const head = ["| workers | resident | private | processor |", "|---|---|---|---|"];
const table = [...head, ...rows, "", memory, "", processor].join("\n");
const page = readFileSync(PAGE, "utf8");
writeFileSync(PAGE, `${page.slice(0, page.indexOf(BEGIN))}${BEGIN}\n${table}\n${page.slice(page.indexOf(END))}`);
