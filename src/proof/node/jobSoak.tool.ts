import { JobTrial } from "./jobTrial";
import { FAULTS, JobTrialPlan, READ_FAULTS } from "./jobTrialPlan";

/**
 * Reads a flag with a whole number. Flags: `--seed FIRST --count N --length MS --every MS --deadly PERCENT
 * --crash-delay MS --shrink MS --cancel PERCENT --reads --lasting N
 * --lease MS --trace`, where `--deadly` is the share of the jobs with a task that
 * crashes its workers, that long after each start, `--shrink` the mean time between two times at which a worker's capacity
 * shrinks, `--cancel` the share of the jobs that is cancelled, `--reads` adds faults of the reads of the jobs, `--lasting` is the number of jobs
 * that last until the end, and `--lease` the longest lease that a worker accepts.
 */
function readNumber(name: string, fallback: number): number {
    const index = process.argv.indexOf(`--${name}`);
    const value = index < 0 ? fallback : Number(process.argv[index + 1]);
    if (!Number.isSafeInteger(value)) {
        console.error(`--${name} must be a whole number`);
        process.exit(2);
    }
    return value;
}

const first = readNumber("seed", 1);
const count = readNumber("count", 10);
const lengthMs = readNumber("length", 40_000);
for (let seed = first; seed < first + count; seed++) {
    const faultEveryMs = readNumber("every", 2_500);
    const plan: JobTrialPlan = {
        seed,
        lengthMs,
        instances: 3,
        workers: 6,
        faultEveryMs,
        faults: process.argv.includes("--reads") ? [...FAULTS, ...READ_FAULTS] : undefined,
        deadlyRatio: readNumber("deadly", 0) / 100,
        crashDelayMs: readNumber("crash-delay", 10),
        shrinkEveryMs: readNumber("shrink", 0) || undefined,
        cancelRatio: readNumber("cancel", 0) / 100,
        lasting: readNumber("lasting", 0) === 0 ? undefined : { count: readNumber("lasting", 0) },
        longestLeaseMs: readNumber("lease", 0) || undefined,
    };
    const { breaches, trace, ...counts } = JobTrial.run(plan);
    console.log(`seed ${seed}`, JSON.stringify(counts), `breaches ${breaches.length}`);
    if (breaches.length > 0) {
        process.exitCode = 1;
        breaches.slice(0, 5).forEach(each => console.log(`  ${each.atMs} ${each.rule}: ${each.detail}`));
        if (process.argv.includes("--trace")) {
            const task = breaches[0].detail.split(" ")[0];
            const id = task.split(".")[0];
            trace
                .filter(line => / FAULT | leader-| worker-/.test(line) || line.includes(id))
                .forEach(line => console.log(`    ${line}`));
        }
    }
}
