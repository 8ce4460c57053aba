import { ColocationPlan } from "./colocationPlan";
import { JobRule } from "./jobRuleChecker";
import { JobTrial } from "./jobTrial";
import {
    FAULTS,
    JobFault,
    JobTrialPlan,
    OPERATOR_READ_FAULTS,
    PlannedFault,
    READ_FAULTS,
    WORKER_READ_FAULTS,
} from "./jobTrialPlan";
import { createLeaderCutPlan, createLeaderSplitPlan, createSiteRestartPlan } from "./siteRestartPlan";
import { MEASURED_COSTS } from "./trialCosts";
import { CrashFault, createCrashSeries } from "./workerCrashes";
import { WAIT_PLANS, WaitPlanName } from "./waitTrialPlan";

/**
 * Reads a flag with a whole number. Flags: `--seed FIRST --count N --workers N --length MS --every MS --deadly PERCENT
 * --crash-delay MS --shrink MS --cancel PERCENT --reads --lasting N --lasting-run MS --lease MS --colocate PERCENT
 * --near PERCENT --jobs-every MS --slow --max-tasks N --memory MB --kill-leader MS --lose-third MS --crash KINDS --crash-every MS --crash-for MS --drain MS --evacuate MS
 * --evacuation-bound MS --faults KINDS --until MS --submit-every MS --costs PERCENT --shards N --transfers PERCENT --grace MS --plan NAME --trace`, where `--shards` divides the workers
 * among as many leaders, 2 at most, `--transfers` is the probability with which a job is transferred whenever it may be,
 * `--deadly` is the share of the jobs with a task that crashes its workers, that long after each start, `--shrink` the mean
 * time between two times at which a worker's capacity shrinks, `--cancel` the share of the jobs that is cancelled, `--reads`
 * adds faults of the reads of the jobs, `--lasting` is the number of jobs that last until the end, `--lasting-run` the time
 * after which a run of theirs ends and is followed by another one, `--lease` the longest lease that a worker accepts,
 * `--colocate` runs latency-critical and best-effort jobs of which that share of the pairs of images interferes heavily,
 * `--near` is the share of the jobs that run fastest on one rack, `--jobs-every` is the mean time between two best-effort jobs, `--max-tasks` the largest number of tasks of their steps,
 * `--memory` what each of their tasks requests, `--kill-leader` the interval at which the leader is killed, `--lose-third`
 * the time at which a third of the workers of the first rack is lost for good, `--crash` names crashes, separated by commas, that follow one
 * another every `--crash-every` ms for `--crash-for` ms, `--slow` injects slow workers only, `--faults`
 * the kinds that it names, separated by commas, `--drain` is the mean time between two times at which workers announce that
 * they leave, around which the leader is killed; it adds faults of the reads of the workers, `--evacuate` the same for
 * evacuations of failure domains and reads of the operator's records, `--evacuation-bound` the time after which they count,
 * `--until` is the time up to which faults are injected, `--submit-every` the longest time between two submissions, and `--costs` charges the instances
 * for their work, with that share of a core in percent. `--grace` adds planned stops, each of which ends with a kill that long after it, and
 * lets leaders of two shards hand over. `--plan` runs a plan of `WAIT_PLANS` or, for
 * `site-restart`, the restart of a whole site that the seed draws, for `leader-cut`, a leader that is cut off, or for `leader-split`, one in a split network; then the flags but
 * `--seed`, `--count` and `--trace` have no effect. The last line says in how many trials each rule was broken.
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

/** Planned stops, as often as all other faults together. */
const PLANNED_STOPS: readonly JobFault[] = FAULTS.map(() => "stop");

function readFaults(): readonly JobFault[] | undefined {
    const index = process.argv.indexOf("--faults");
    if (index >= 0) {
        return process.argv[index + 1].split(",") as JobFault[];
    }
    if (process.argv.includes("--slow")) {
        return ["worker-slow"];
    }
    const hasReadFaults = process.argv.includes("--reads");
    const hasDrains = process.argv.includes("--drain");
    const hasEvacuations = process.argv.includes("--evacuate");
    const added = [
        ...(hasReadFaults ? READ_FAULTS : []),
        ...(hasDrains ? WORKER_READ_FAULTS : []),
        ...(hasEvacuations ? OPERATOR_READ_FAULTS : []),
        ...(process.argv.includes("--grace") ? PLANNED_STOPS : []),
    ];
    return added.length > 0 ? [...FAULTS, ...added] : undefined;
}

function readColocation(): ColocationPlan | undefined {
    if (!process.argv.includes("--colocate")) {
        return undefined;
    }
    return {
        heavyRatio: readNumber("colocate", 0) / 100,
        bestEffortEveryMs: readNumber("jobs-every", 1_000),
        maxTasks: readNumber("max-tasks", 0) || undefined,
        memoryMb: readNumber("memory", 0) || undefined,
    };
}

/** Time (ms) at which a series of crashes begins. */
const FIRST_CRASH_MS = 6_000;

function readCrashes(): (readonly [number, PlannedFault])[] {
    const index = process.argv.indexOf("--crash");
    if (index < 0) {
        return [];
    }
    const kinds = process.argv[index + 1].split(",") as CrashFault[];
    return createCrashSeries(kinds, FIRST_CRASH_MS, readNumber("crash-every", 2_200), readNumber("crash-for", 26_000));
}

/** @param endMs Time up to which the leader is killed, in ms. */
function readPlannedFaults(endMs: number): (readonly [number, PlannedFault])[] {
    const intervalMs = readNumber("kill-leader", 0) || Number.POSITIVE_INFINITY;
    const kills = Array.from({ length: Math.floor(endMs / intervalMs) }, (_, index): [number, PlannedFault] => [
        (index + 1) * intervalMs,
        "kill-leader",
    ]);
    const loseThirdMs = readNumber("lose-third", 0);
    return loseThirdMs === 0 ? kills : [...kills, [loseThirdMs, "lose-third"]];
}

/** Plans that a seed draws. */
const DRAWN_PLANS: Readonly<Record<string, (seed: number) => JobTrialPlan>> = {
    "site-restart": createSiteRestartPlan,
    "leader-cut": createLeaderCutPlan,
    "leader-split": createLeaderSplitPlan,
};

/** @returns Creates the plan that `--plan` names from a seed; `undefined` without the flag. */
function readPlan(): ((seed: number) => JobTrialPlan) | undefined {
    const index = process.argv.indexOf("--plan");
    if (index < 0) {
        return undefined;
    }
    const name = process.argv[index + 1];
    if (Object.hasOwn(DRAWN_PLANS, name)) {
        return DRAWN_PLANS[name];
    }
    if (!Object.hasOwn(WAIT_PLANS, name)) {
        console.error(`--plan must be one of ${[...Object.keys(WAIT_PLANS), ...Object.keys(DRAWN_PLANS)].join(", ")}`);
        process.exit(2);
    }
    return seed => ({ ...WAIT_PLANS[name as WaitPlanName], seed });
}

const first = readNumber("seed", 1);
const count = readNumber("count", 10);
const lengthMs = readNumber("length", 40_000);
const createPlan = readPlan();
/** Number of trials in which each rule was broken. */
const brokenTrials = new Map<JobRule, number>();
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
        drains: readNumber("drain", 0) === 0 ? undefined : { everyMs: readNumber("drain", 0), killsLeaders: true },
        evacuations:
            readNumber("evacuate", 0) === 0
                ? undefined
                : {
                      everyMs: readNumber("evacuate", 0),
                      killsLeaders: true,
                      boundMs: readNumber("evacuation-bound", 0) || undefined,
                  },
        places: readNumber("near", 0) === 0 ? undefined : { ratio: readNumber("near", 0) / 100, factor: 3 },
        lasting:
            readNumber("lasting", 0) === 0
                ? undefined
                : { count: readNumber("lasting", 0), runMs: readNumber("lasting-run", 0) || undefined },
        longestLeaseMs: readNumber("lease", 0) || undefined,
        colocation: readColocation(),
        plannedFaults: [...readPlannedFaults(lengthMs), ...readCrashes()],
        submitEveryMs: readNumber("submit-every", 0) || undefined,
        shards: readNumber("shards", 1),
        transferRatio: readNumber("transfers", 0) === 0 ? undefined : readNumber("transfers", 0) / 100,
        graceMs: readNumber("grace", 0) || undefined,
        costs: readNumber("costs", 0) === 0 ? undefined : { ...MEASURED_COSTS, share: readNumber("costs", 0) / 100 },
    };
    const { breaches, trace, ...counts } = JobTrial.run(createPlan?.(seed) ?? plan);
    new Set(breaches.map(each => each.rule)).forEach(rule => brokenTrials.set(rule, (brokenTrials.get(rule) ?? 0) + 1));
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
console.log(`${count} trials; trials with broken rules:`, JSON.stringify(Object.fromEntries(brokenTrials)));
