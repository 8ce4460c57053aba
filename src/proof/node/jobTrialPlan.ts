import { DispatchLimits } from "../../dispatch/common/scheduler/dispatchLimits";
import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { OrderOutcome, RunEnd, WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { EntryDecoder } from "../../host/common/entryDecoder";
import { Configuration, Queue } from "../../jobs/common/queueTable";
import { JobDraft } from "../../jobs/common/jobCall";
import { StepSpec } from "../../jobs/common/jobSpec";
import { StreamDecoder } from "../../platform/common/streamDecoder";
import { StoredRecord } from "../../records/common/record";
import { LeasedWorker, RunPlanner } from "../../standin/common/leasedWorker";
import { ColocationPlan } from "./colocationPlan";
import type { JobTrial } from "./jobTrial";
import { PlacePlan } from "./placePlan";
import { Random } from "./random";
import { RuleViolation } from "./jobRuleChecker";
import { SiteRestart } from "./siteRestartPlan";
import { TrialCosts } from "./trialCosts";
import { DrainPlan } from "./trialDrains";
import { EVACUATION_MS } from "./evacuationChecker";
import { EvacuationPlan } from "./trialEvacuations";
import { CrashFault } from "./workerCrashes";

/** The queue of all jobs of a trial. */
export const QUEUE: Queue = {
    name: "q/",
    host: "host",
    prefix: "/q/",
    service: "svc",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    slackMs: 1_000,
    timeoutMs: 3_000,
};

/** @param plan Parameters of a trial. @returns Its configuration. */
function configurationOf(plan: JobTrialPlan): Configuration {
    const rejectsOverload = plan.shrinkEveryMs === undefined;
    const services = [{ name: "svc", rejectsOverload, isStandby: false }];
    return { version: 1, queues: [QUEUE], services, maxBodyBytes: 100_000 };
}

/** Time limits of the instances of a trial. */
export const LIMITS: DispatchLimits = {
    longestLeaseMs: 6_000,
    stopMs: 200,
    cancelMs: 3_000,
    drainMs: 2_500,
    gangWaitMs: 3_000,
    harmMs: 4_000,
    configurationMs: 2_500,
    retentionMs: 120_000,
    graceMs: 6_000,
};

/** Bound of the configuration in trials with evacuations, in ms: both are in one stream, and the shorter bound decides. */
const CONFIGURATION_BESIDE_EVACUATIONS_MS = 4 * EVACUATION_MS;

/** @param plan Parameters of a trial. @returns Time limits of its instances. */
export function limitsOf({
    longestLeaseMs = LIMITS.longestLeaseMs,
    evacuations,
    graceMs,
    places,
}: JobTrialPlan): DispatchLimits {
    const bounds =
        evacuations === undefined
            ? undefined
            : {
                  evacuationMs: evacuations.boundMs ?? EVACUATION_MS,
                  configurationMs: CONFIGURATION_BESIDE_EVACUATIONS_MS,
              };
    const times = { longestLeaseMs, handoverGraceMs: graceMs, crossRackFactor: places?.factor };
    return { ...LIMITS, ...times, ...bounds };
}

/**
 * @param plan Parameters of a trial.
 * @returns Whether waits for racks are checked. The check knows nothing of evacuations, and takes an end for known that was lost with its
 * worker.
 */
export function checksWaits({ places, evacuations, faultEveryMs }: JobTrialPlan): boolean {
    return places !== undefined && evacuations === undefined && faultEveryMs === 0;
}

/** Timeouts of calls to the store and to workers, in ms. */
export const CALL_TIMEOUTS_MS = { store: 400, worker: 800 };

/** Kinds of faults that a trial injects; several can be active at once. */
export type JobFault =
    | "kill"
    | "kill-all"
    | "freeze"
    | "cut-store"
    | "store-down"
    | "lost-answers"
    | "worker-crash"
    | "worker-gone"
    | "worker-cut"
    | "late-orders"
    | "slow-link"
    | "expire"
    | ReadFault
    | SpeedFault
    | StopFault;

/**
 * Kinds of faults of the reads of the jobs, of the workers or of the operator's records, by one instance: its pages arrive late, as
 * over a link that other pages fill, or one response stalls.
 */
export type ReadFault =
    | "slow-pages"
    | "stalled-read"
    | "slow-worker-pages"
    | "stalled-worker-read"
    | "slow-operator-pages"
    | "stalled-operator-read";

/** Kinds of faults of the reads of the jobs. They are apart from the others, whose list decides the trials of earlier seeds. */
export const READ_FAULTS: readonly ReadFault[] = ["slow-pages", "stalled-read"];

/** Kinds of faults of the reads of the workers. */
export const WORKER_READ_FAULTS: readonly ReadFault[] = ["slow-worker-pages", "stalled-worker-read"];

/** Kinds of faults of the reads of the operator's records. */
export const OPERATOR_READ_FAULTS: readonly ReadFault[] = ["slow-operator-pages", "stalled-operator-read"];

/** Kinds of faults of the speed: some workers work several times slower, and the tail latencies there rise as much. */
export type SpeedFault = "worker-slow";

/** Kinds of faults of workers and of the links to them; all instances stay in touch. */
export const FAULTS_OF_WORKERS: readonly JobFault[] = [
    "worker-crash",
    "worker-gone",
    "worker-cut",
    "late-orders",
    "slow-link",
    "expire",
];

/** Kinds of planned stops: an instance, mostly a leader, is told to stop, and is killed at the end of its grace period. */
export type StopFault = "stop";

/** All kinds of faults but those of the reads, of the speed, and planned stops. */
export const FAULTS: readonly JobFault[] = [
    "kill",
    "kill-all",
    "freeze",
    "cut-store",
    "store-down",
    "lost-answers",
    ...FAULTS_OF_WORKERS,
];

/** A planned outage of the store. */
export type PlannedOutage = "outage-2s" | "outage-6s" | "outage-8s";

/** A time in which the stream of jobs stores one append at a time, and slowly; other streams are as fast as ever. */
export type PlannedSlowness = "slow-jobs-3s";

/**
 * A planned fault of a trial. `lose-worker`: the worker with the most runs is lost for good. `lose-half`: half of the workers
 * crash and are back after 2 s. `lose-third`: a third of the workers of the first rack is lost for good. `lose-domain`: three in
 * ten workers crash, and new ones come after 10 s. `add-workers`: there are nearly twice as many workers from then on. `add-to-last-rack`: there are half as many more, in one rack. `kill-all`: all instances
 * are killed. `lose-site`: so they are, and the host of the leader stays away for 15 s. `outage-2s`, `outage-6s`, `outage-8s`: the store refuses
 * all calls for that long. A `CrashFault` crashes workers. The others concern the leader: it is killed, is frozen for 3 s, or is told to stop and is started again once it
 * has.
 */
export type PlannedFault =
    | "lose-worker"
    | "lose-half"
    | "lose-third"
    | "lose-domain"
    | "add-workers"
    | "add-to-last-rack"
    | "kill-all"
    | "lose-site"
    | PlannedOutage
    | PlannedSlowness
    | CrashFault
    | "kill-leader"
    | "freeze-leader"
    | "stop-leader";

/**
 * A fault that strikes a handover when its successor has just been named: the leader or the successor is killed, frozen for 3 s or cut off
 * from the store, or the store refuses all calls or loses answers, or a worker is cut off, for 2 s.
 */
export type HandoverFault =
    `${"kill" | "freeze" | "cut"}-${"leader" | "successor"}` | "store-down" | "lost-answers" | "worker-cut";

/** Jobs that last until the end of a trial. */
export interface LastingJobs {
    /** Number of jobs. */
    readonly count: number;
    /** CPU that each of their tasks requests, in thousandths of a core; 2 cores if undefined. */
    readonly cpuMillis?: number;
    /** Number of tasks of each job; 3 if undefined. */
    readonly tasks?: number;
    /** Number of tasks of a job that a worker may run; unlimited if undefined. */
    readonly maxPerWorker?: number;
    /** Longest time for which a task of them may be without a run after its first one, in ms; unlimited if undefined. */
    readonly maxGapMs?: number;
    /** Whether no task of them may be without a run for 9 s of which the last 7 s are without a disruption. */
    readonly isReviewed?: boolean;
    /** Whether no other jobs are submitted. */
    readonly isAlone?: boolean;
    /** Work after which a run of them ends as `done`, in ms; none ends by itself if undefined. */
    readonly runMs?: number;
}

/** Parameters of a trial. */
export interface JobTrialPlan {
    readonly seed: number;
    /** Time during which jobs are submitted and faults injected, in ms. */
    readonly lengthMs: number;
    readonly instances: number;
    readonly workers: number;
    /** Kinds of faults to inject; `FAULTS` if undefined. */
    readonly faults?: readonly JobFault[];
    /** Mean time between faults, in ms; 0 for a fault-free trial. */
    readonly faultEveryMs: number;
    /** Time up to which faults are injected, in ms; `lengthMs` if undefined. */
    readonly faultsUntilMs?: number;
    /** Time for which the trial goes on after `lengthMs`, in ms; 60 s if undefined, in which all jobs must end. */
    readonly recoveryMs?: number;
    /** Share of the jobs with a deadly task, from 0 to 1; none if undefined. */
    readonly deadlyRatio?: number;
    /** Time from the start of a deadly task to the crash of its worker, in ms; 10 if undefined. */
    readonly crashDelayMs?: number;
    /**
     * Mean time between two times at which a worker's capacity shrinks, in ms. It never shrinks if undefined; otherwise the
     * service's workers do not reject what exceeds their capacity.
     */
    readonly shrinkEveryMs?: number;
    /** Share of the jobs that are cancelled, from 0 to 1; none if undefined. */
    readonly cancelRatio?: number;
    /** Workers that announce that they leave; none if undefined. */
    readonly drains?: DrainPlan;
    /** Failure domains that are evacuated; none if undefined. */
    readonly evacuations?: EvacuationPlan;
    /** Jobs whose tasks run fastest on one rack; none if undefined. */
    readonly places?: PlacePlan;
    /** Jobs that last until the end; none if undefined. */
    readonly lasting?: LastingJobs;
    /** Longest lease that a worker accepts, in ms; that of `LIMITS` if undefined. */
    readonly longestLeaseMs?: number;
    /** Faults at given times in ms. */
    readonly plannedFaults?: readonly (readonly [atMs: number, fault: PlannedFault])[];
    /** A restart of the whole site; none if undefined. */
    readonly siteRestart?: SiteRestart;
    /** Latency-critical and best-effort jobs instead of the others; none if undefined. */
    readonly colocation?: ColocationPlan;
    /**
     * Mean time between two odd entries of another writer in the stream of workers, in ms; none if undefined. Otherwise, the
     * entries are those of the platform, with its decoder.
     */
    readonly oddEntryEveryMs?: number;
    /** Longest time between two submissions, in ms; 500 if undefined. */
    readonly submitEveryMs?: number;
    /** Number of shards, at most 2; one if undefined. */
    readonly shards?: number;
    /** Probability with which a job is transferred to another shard whenever it may be; by the room of the shards if undefined. */
    readonly transferRatio?: number;
    /** Fault that strikes each handover; none if undefined. */
    readonly handoverFault?: HandoverFault;
    /** Time from the request to stop an instance to its kill, in ms; none is killed, and none hands over, if undefined. */
    readonly graceMs?: number;
    /** What the work of the instances costs; it takes no time if undefined. */
    readonly costs?: TrialCosts;
    /** Breaks a mechanism on purpose, to prove that a rule detects it. */
    readonly sabotage?: (trial: JobTrial) => void;
}

/** Result of a trial; the numbers are printed under their names. */
export interface JobTrialResult {
    /** Violations of rules; their number is printed as `breaches`. */
    readonly breaches: readonly RuleViolation[];
    readonly jobs: number;
    readonly accepted: number;
    readonly finished: number;
    readonly starts: number;
    readonly leaders: number;
    /** Crashes of workers under deadly tasks. */
    readonly crashes: number;
    /** Tasks, not deadly themselves, that ran on at least two workers when these crashed. */
    readonly sharedCrashes: number;
    /** How often the capacity of a worker shrank. */
    readonly shrinks: number;
    /** Jobs of which a cancellation was acknowledged. */
    readonly cancelled: number;
    /** Workers that have announced that they leave. */
    readonly drained: number;
    /** How often a failure domain was evacuated. */
    readonly evacuated: number;
    /** Longest time from when a domain was taken back, of which all were evacuated, to the next start, in ms. */
    readonly takeBackMs: number;
    /** How often a job was transferred to another shard. */
    readonly transfers: number;
    /** How often a single task was. */
    readonly taskTransfers: number;
    /** Half seconds with events of a leader whose work takes time, and those in which one waited over 500 ms. */
    readonly halfSeconds: number;
    readonly lateHalfSeconds: number;
    /** Longest time for which an event of a leader waited for its processor, in ms. */
    readonly mostDelayMs: number;
    /** Decisions and faults with their times, one a line. */
    readonly trace: readonly string[];
}

/** Port that the entries of the platform have in a trial, whose addresses are names. */
const TRIAL_PORT = ":80";

/** @param entry An entry. @returns The entry as workers write it on the platform. */
export function encodePlatformEntry(entry: WorkerEntry): string {
    const { service, address, failureDomain, state, capacity, labels, incarnation } = entry;
    const { cpuMillis, memoryMb, accelerators } = capacity;
    return JSON.stringify({
        service,
        addr: `${address}${TRIAL_PORT}`,
        zone: failureDomain,
        state,
        capacity: { cpu: cpuMillis, memMb: memoryMb, gpu: accelerators },
        labels,
        born: incarnation,
    });
}

/** Decodes the stored entries of a trial. */
export class TrialDecoder extends EntryDecoder {
    private readonly decoder = StreamDecoder.create();

    /** @param plan Parameters of the trial. */
    constructor(private readonly plan: JobTrialPlan) {
        super();
    }

    override isConfiguration(record: StoredRecord): boolean {
        return this.decoder.isConfiguration(record);
    }

    override decodeConfiguration(): Configuration {
        return configurationOf(this.plan);
    }

    override isEvacuation(key: string): boolean {
        return this.decoder.isEvacuation(key);
    }

    override decodeEvacuation(key: string): string | undefined {
        return this.decoder.decodeEvacuation(key);
    }

    override decodeWorker(record: StoredRecord): WorkerEntry | undefined {
        if (this.plan.oddEntryEveryMs !== undefined) {
            const entry = this.decoder.decodeWorker(record);
            return entry && { ...entry, address: entry.address.slice(0, -TRIAL_PORT.length) };
        }
        return record.value === undefined ? undefined : (JSON.parse(record.value) as WorkerEntry);
    }
}

/** Executes an order at a worker. @param now Time in ms. @returns The worker's outcome for the order. */
export function executeOrder(worker: LeasedWorker, effect: WorkerEffect, now: number): OrderOutcome {
    switch (effect.kind) {
        case "start":
            return worker.start(effect.order, now);
        case "stop":
            return worker.stop(effect.order, now);
        case "list":
            return worker.renewLease(effect.order, now);
        case "throttle":
            return worker.throttle(effect.order, now);
    }
}

/**
 * @param index Number of the worker.
 * @param id Identifier of the worker.
 * @param startedAt Time (ms) at which the worker started.
 * @param address Its address.
 * @returns The worker's entry.
 */
export function createWorkerEntry(index: number, id: string, startedAt: number, address: string): WorkerEntry {
    return {
        id,
        incarnation: startedAt,
        service: "svc",
        address,
        failureDomain: `z${index % 3}`,
        state: "ready",
        warmupLeftMs: 0,
        capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
        labels: ["a", `r${index % 2}`],
        rack: `r${index % 2}`,
    };
}

/** Bounds of the duration of a run, in ms. */
export const MIN_RUN_MS = 100;
export const MAX_RUN_MS = 2_500;

/** @returns Duration of a run in ms and its end, both derived from the run alone. */
export function simulateRun(task: string, run: number): { ms: number; end: RunEnd } {
    const random = Random.create([...`${task}/${run}`].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) | 0, 7));
    return { ms: random.between(MIN_RUN_MS, MAX_RUN_MS), end: random.chance(0.04) ? "failed" : "done" };
}

/** One in so many jobs has long runs in trials with cancellations, and how much longer they are. */
const JOBS_PER_LONG_JOB = 4;
const LONG_RUN_RATIO = 3;

/**
 * @param plan Parameters of the trial.
 * @returns Decides on the runs. In trials with cancellations some are so long that only a stop ends them in time.
 */
export function runPlannerOf(plan: JobTrialPlan): RunPlanner {
    if ((plan.cancelRatio ?? 0) === 0) {
        return simulateRun;
    }
    return (task, run) => {
        const { ms, end } = simulateRun(task, run);
        const isLong = Number.parseInt(task, 16) % JOBS_PER_LONG_JOB === 0;
        return { ms: isLong ? ms * LONG_RUN_RATIO : ms, end };
    };
}

/**
 * Derives a job's deadly task, which crashes each worker that starts it, from the job's id: a draw would change the
 * trials of all seeds.
 * @param id The job.
 * @param ratio Share of the jobs with a deadly task, from 0 to 1.
 * @returns Name of the task, or `undefined` if the job has none.
 */
export function deadlyTaskOf(id: string, ratio: number): string | undefined {
    return Number.parseInt(id, 16) % 1_000 < ratio * 1_000 ? `${id}.0.0.0` : undefined;
}

/** @param random Source of randomness. @returns A job of one to three steps. */
export function createDraft(random: Random): JobDraft {
    const steps = random.between(1, 3);
    return draftOf(
        Array.from({ length: steps }, (_, index) => ({
            tasks: random.between(1, 4),
            request: { cpuMillis: random.between(1, 6) * 1_000, memoryMb: 1_000, accelerators: 0 },
            estimateMs: 1_000,
            after: index === 0 ? [] : [index - 1],
            mode: "independent",
            checkpoints: false,
            prefersOneRack: false,
            usesSpareCpu: false,
        })),
    );
}

/** @param jobs The jobs that last, if any. @returns A job whose tasks last. */
export function createLastingDraft(jobs: Partial<LastingJobs> = {}): JobDraft {
    const { cpuMillis = 2_000, tasks = 3, maxPerWorker } = jobs;
    return draftOf([
        {
            tasks,
            maxPerWorker,
            request: { cpuMillis, memoryMb: 1_000, accelerators: 0 },
            estimateMs: 60_000,
            after: [],
            mode: "long-running",
            checkpoints: false,
            prefersOneRack: false,
            usesSpareCpu: false,
        },
    ]);
}

function draftOf(steps: readonly StepSpec[]): JobDraft {
    return { payload: "p", steps, occurrences: 0, firstDueMs: 0, intervalMs: 0 };
}

/** Bounds of the time between two submissions, in ms. */
const MIN_SUBMIT_DELAY_MS = 50;
const MAX_SUBMIT_DELAY_MS = 500;

/** @param plan Parameters of the trial. @param random Source of randomness. @returns Time until the next submission, in ms. */
export function submitDelayMs(plan: JobTrialPlan, random: Random): number {
    const maxMs = plan.submitEveryMs ?? MAX_SUBMIT_DELAY_MS;
    return random.between(Math.min(MIN_SUBMIT_DELAY_MS, maxMs), maxMs);
}
