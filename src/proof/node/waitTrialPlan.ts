import { ColocationPlan } from "./colocationPlan";
import { JobTrialPlan } from "./jobTrialPlan";
import { MEASURED_COSTS, TrialCosts } from "./trialCosts";

/** A way in which jobs come to wait although their service has room. */
export type WaitPlanName =
    | "memory-over-half"
    | "fleet-grows"
    | "half-lost"
    | "all-killed"
    | "worker-lost-in-overload"
    | "worker-and-leader-lost"
    | "domain-lost"
    | "late-leader"
    | "late-leader-with-memory"
    | "small-instances"
    | "scarce-processor"
    | "whole-day";

/** Costs of an instance that cannot keep up with a large fleet: it is up to 1 s late. */
const BUSY_COSTS: TrialCosts = { ...MEASURED_COSTS, startMs: 0.6, listMs: 0.3, answerMs: 0.3 };

/** Costs of an instance with a small share of a core, which is late all the time beside a queue of wide jobs. */
const SMALL_COSTS: TrialCosts = { ...BUSY_COSTS, share: 0.12 };

/** Latency-critical tasks that reserve under half of the CPU, and jobs of short tasks beside them. */
const SHARED_WORKERS: ColocationPlan = {
    heavyRatio: 0.5,
    bestEffortEveryMs: 700,
    maxTasks: 6,
    memoryMb: 9_000,
    workMs: { min: 1_000, max: 3_000 },
    reserved: { cpuMillis: 7_200, memoryMb: 20_000 },
};

/**
 * Jobs of short tasks beside latency-critical ones that reserve under half of the CPU; with the memory of both, just over half of
 * it is in use, up and down.
 */
const MEMORY_OVER_HALF: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 30_000,
    recoveryMs: 15_000,
    instances: 3,
    workers: 12,
    faultEveryMs: 0,
    colocation: SHARED_WORKERS,
};

/** A large fleet that nearly doubles, led by an instance that cannot keep up, and wide jobs. */
const LATE_LEADER: Omit<JobTrialPlan, "seed"> = {
    ...MEMORY_OVER_HALF,
    workers: 33,
    lengthMs: 20_000,
    recoveryMs: 8_000,
    plannedFaults: [[14_000, "add-workers"]],
    colocation: { ...SHARED_WORKERS, bestEffortEveryMs: 250, minTasks: 10, maxTasks: 17 },
    costs: BUSY_COSTS,
};

/**
 * Instances that have just enough processor time to start a task of each job in time, and jobs of several narrow steps: between two
 * of them, no runs of a job overlap.
 */
const SCARCE_PROCESSOR: Omit<JobTrialPlan, "seed"> = {
    ...MEMORY_OVER_HALF,
    workers: 33,
    lengthMs: 20_000,
    recoveryMs: 12_000,
    colocation: {
        ...SHARED_WORKERS,
        bestEffortEveryMs: 300,
        minTasks: 1,
        maxTasks: 3,
        steps: 4,
        workMs: { min: 600, max: 1_500 },
    },
    costs: { ...SMALL_COSTS, share: 0.07 },
};

/** Time at which a worker is lost for good, in ms. */
const WORKER_LOST_AT_MS = 18_000;

/** More jobs than there is memory for, and a worker that is lost for good, with a task that lasts. */
const WORKER_LOST: Omit<JobTrialPlan, "seed"> = {
    ...MEMORY_OVER_HALF,
    lengthMs: 24_000,
    recoveryMs: 10_000,
    plannedFaults: [[WORKER_LOST_AT_MS, "lose-worker"]],
    colocation: { ...SHARED_WORKERS, bestEffortEveryMs: 150 },
};

/**
 * Three in ten workers are lost at once in a service that is full of tasks that last, each of which starts again every second, and
 * of more short tasks than there is room for. A task that lasts has to run 6 s after its last run, and 3 s more.
 */
const DOMAIN_LOST: Omit<JobTrialPlan, "seed"> = {
    lengthMs: 22_000,
    recoveryMs: 16_000,
    instances: 3,
    workers: 30,
    faultEveryMs: 0,
    lasting: { count: 35, maxGapMs: 9_000, runMs: 1_000 },
    submitEveryMs: 180,
    plannedFaults: [[14_000, "lose-domain"]],
};

/** The plans of the trials of waits, without seeds. */
export const WAIT_PLANS: Readonly<Record<WaitPlanName, Omit<JobTrialPlan, "seed">>> = {
    "memory-over-half": MEMORY_OVER_HALF,
    "fleet-grows": {
        ...MEMORY_OVER_HALF,
        workers: 8,
        plannedFaults: [[14_000, "add-workers"]],
        colocation: { ...SHARED_WORKERS, bestEffortEveryMs: 250 },
    },
    "half-lost": { ...MEMORY_OVER_HALF, plannedFaults: [[20_000, "lose-half"]] },
    "all-killed": {
        ...MEMORY_OVER_HALF,
        plannedFaults: [
            [24_000, "kill-leader"],
            [29_000, "kill-all"],
        ],
    },
    "worker-lost-in-overload": WORKER_LOST,
    "worker-and-leader-lost": {
        ...WORKER_LOST,
        plannedFaults: [
            [WORKER_LOST_AT_MS, "lose-worker"],
            [WORKER_LOST_AT_MS + 500, "kill-leader"],
        ],
    },
    "domain-lost": DOMAIN_LOST,
    "late-leader": LATE_LEADER,
    "late-leader-with-memory": {
        ...LATE_LEADER,
        colocation: {
            ...LATE_LEADER.colocation!,
            heavyRatio: 0.1,
            bestEffortEveryMs: 150,
            memoryMb: 6_000,
            reserved: { cpuMillis: 7_200, memoryMb: 12_000 },
        },
    },
    "small-instances": {
        ...MEMORY_OVER_HALF,
        workers: 33,
        lengthMs: 24_000,
        recoveryMs: 12_000,
        colocation: {
            ...SHARED_WORKERS,
            bestEffortEveryMs: 200,
            minTasks: 16,
            maxTasks: 24,
            workMs: { min: 1_000, max: 1_500 },
        },
        costs: SMALL_COSTS,
    },
    "scarce-processor": SCARCE_PROCESSOR,
    "whole-day": {
        ...LATE_LEADER,
        recoveryMs: 12_000,
        plannedFaults: [
            [12_000, "add-workers"],
            [15_000, "kill-leader"],
            [17_500, "lose-half"],
            [20_000, "kill-all"],
        ],
    },
};
