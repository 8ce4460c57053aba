import { TaskRequest } from "../../jobs/common/jobSpec";

/** A run as its neighbors on a worker see it. */
export interface ColocatedRun {
    readonly task: string;
    /** Speed that it is allowed, in percent. */
    readonly speedPercent: number;
}

/** How a run does beside its neighbors. */
export interface RunCondition {
    /** Work done per unit of time; 1 for a run that has a worker to itself. */
    readonly rate: number;
    /** Tail latency in ms of a latency-critical task; CPU in use in thousandths of a core of any other. */
    readonly latencyOrUsage: number;
    /** Ratio of target to tail latency, now and without the best-effort runs beside it; only of latency-critical tasks. */
    readonly headroom?: number;
    readonly headroomAlone?: number;
}

/** The worker on which runs share the CPU. */
export interface SharedWorker {
    readonly capacity: TaskRequest;
    /** How many times slower it works than a sound worker. */
    readonly slowness: number;
}

/** Decides how the runs on one worker influence each other. */
export abstract class ColocationModel {
    /**
     * @param runs The runs on a worker.
     * @param worker The worker.
     * @param now Time in ms.
     * @returns The condition of each run, in the same order.
     */
    abstract conditions(runs: readonly ColocatedRun[], worker: SharedWorker, now: number): RunCondition[];
}
