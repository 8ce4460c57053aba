import { JobTrial } from "./jobTrial";
import { FAULTS, JobFault, JobTrialPlan, READ_FAULTS } from "./jobTrialPlan";
import { MEASURED_COSTS } from "./trialCosts";

/**
 * Reads a flag with a whole number. Flags: `--seed FIRST --count N --workers N --length MS --every MS --deadly PERCENT
 * --crash-delay MS --shrink MS --cancel PERCENT --reads --lasting N --lease MS --colocate PERCENT --jobs-every MS --slow
 * --faults KINDS --until MS --submit-every MS --costs PERCENT --trace`, where `--deadly` is the share of the jobs with a task that
 * crashes its workers, that long after each start, `--shrink` the mean time between two times at which a worker's capacity
 * shrinks, `--cancel` the share of the jobs that is cancelled, `--reads` adds faults of the reads of the jobs, `--lasting` is
 * the number of jobs that last until the end, `--lease` the longest lease that a worker accepts, `--colocate` runs
 * latency-critical and best-effort jobs of which that share of the pairs of images interferes heavily, `--jobs-every` is the
 * mean time between two best-effort jobs, `--slow` injects slow workers only, `--faults` the kinds that it names,
 * separated by commas, `--until` is the time up to which faults are injected, `--submit-every` the longest time between two
 * submissions, and `--costs` charges the instances for
 * their work, with that share of a core in percent.
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

function readFaults(): readonly JobFault[] | undefined {
    const index = process.argv.indexOf("--faults");
    if (index >= 0) {
        return process.argv[index + 1].split(",") as JobFault[];
    }
    if (process.argv.includes("--slow")) {
        return ["worker-slow"];
    }
    return process.argv.includes("--reads") ? [...FAULTS, ...READ_FAULTS] : undefined;
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
        workers: readNumber("workers", 6),
        faultEveryMs,
        faults: readFaults(),
        faultsUntilMs: readNumber("until", 0) || undefined,
        deadlyRatio: readNumber("deadly", 0) / 100,
        crashDelayMs: readNumber("crash-delay", 10),
        shrinkEveryMs: readNumber("shrink", 0) || undefined,
        cancelRatio: readNumber("cancel", 0) / 100,
        lasting: readNumber("lasting", 0) === 0 ? undefined : { count: readNumber("lasting", 0) },
        longestLeaseMs: readNumber("lease", 0) || undefined,
        submitEveryMs: readNumber("submit-every", 0) || undefined,
        costs: readNumber("costs", 0) === 0 ? undefined : { ...MEASURED_COSTS, share: readNumber("costs", 0) / 100 },
        colocation: process.argv.includes("--colocate")
            ? { heavyRatio: readNumber("colocate", 0) / 100, bestEffortEveryMs: readNumber("jobs-every", 1_000) }
            : undefined,
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
