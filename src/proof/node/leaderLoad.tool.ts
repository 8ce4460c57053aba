import { createHash } from "node:crypto";
import { formatTable } from "../../base/common/table";
import { LeaderLoad, LeaderLoadResult, WORK_KINDS } from "./leaderLoad";
import { quantileOf } from "./processorMeter";

/**
 * Prints the processor time of a leader by kind of work, and the duration of its passes. Flags: `--workers N,N --waiting N,N
 * --seconds N --seed N`, where `--waiting` is the number of waiting tasks.
 */
function readNumbers(name: string, fallback: readonly number[]): readonly number[] {
    const index = process.argv.indexOf(`--${name}`);
    const values = index < 0 ? fallback : process.argv[index + 1].split(",").map(Number);
    if (values.some(each => !Number.isSafeInteger(each) || each <= 0)) {
        console.error(`--${name} must be whole numbers above 0, separated by commas`);
        process.exit(2);
    }
    return values;
}

const WARMUP_MS = 6_000;

/** @returns Exponent of the growth of `values` with `sizes`: the slope of a line through their logarithms. */
function powerOf(sizes: readonly number[], values: readonly number[]): number {
    const [xs, ys] = [sizes, values].map(each => each.map(Math.log));
    const mean = (each: readonly number[]) => each.reduce((sum, value) => sum + value, 0) / each.length;
    const [meanX, meanY] = [mean(xs), mean(ys)];
    const covariance = xs.reduce((sum, x, index) => sum + (x - meanX) * (ys[index] - meanY), 0);
    return covariance / xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0);
}

/** @returns A digest of the orders: versions of the code that decide alike have the same. */
function digestOf(decisions: readonly string[]): string {
    return createHash("sha256").update(decisions.join("\n")).digest("hex").slice(0, 8);
}

const [seed] = readNumbers("seed", [1]);
const [seconds] = readNumbers("seconds", [10]);
const waitings = readNumbers("waiting", [100, 1_000, 5_000]);
const passRows: string[][] = [];
const workRows: string[][] = [];

function addRows(workers: number, waitingTasks: number, { meter, starts, decisions }: LeaderLoadResult): number {
    const pass = meter.figuresOf("pass");
    const median = quantileOf(pass.sortedMs, 0.5);
    const times = [median, quantileOf(pass.sortedMs, 0.99), quantileOf(pass.sortedMs, 1), pass.totalMs / pass.count];
    const size = [String(workers), String(waitingTasks)];
    passRows.push([
        ...size,
        (pass.count / seconds).toFixed(1),
        ...times.map(each => each.toFixed(2)),
        String(starts),
        digestOf(decisions),
    ]);
    const perSecond = WORK_KINDS.map(kind => meter.figuresOf(kind).totalMs / seconds);
    const total = perSecond.reduce((sum, each) => sum + each, 0);
    workRows.push([...size, ...[...perSecond, total].map(each => each.toFixed(1))]);
    return pass.totalMs / pass.count;
}

const powers: string[] = [];
for (const workers of readNumbers("workers", [33, 65, 378])) {
    const means = waitings.map(waitingTasks => {
        const plan = { seed, workers, waitingTasks, warmupMs: WARMUP_MS, lengthMs: seconds * 1_000 };
        return addRows(workers, waitingTasks, LeaderLoad.run(plan));
    });
    powers.push(`${workers} workers: ${powerOf(waitings, means).toFixed(2)}`);
}
console.log("Processor time of one pass, in ms");
console.log(
    formatTable(["WORKERS", "WAITING", "PASSES/S", "MEDIAN", "P99", "MOST", "MEAN", "STARTS", "DECISIONS"], passRows),
);
console.log("\nProcessor time in ms for each second of simulated time, by kind of work");
console.log(formatTable(["WORKERS", "WAITING", ...WORK_KINDS.map(each => each.toUpperCase()), "TOTAL"], workRows));
console.log(`\nPower of the growth of a pass (mean) with the waiting tasks: ${powers.join(", ")}`);
