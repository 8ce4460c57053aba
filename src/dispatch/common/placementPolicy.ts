import { Task } from "./task";
import { WorkerContact } from "./workerContact";
import { WorkerForecast } from "./workerForecast";

/**
 * What keeps a task below full speed on a worker: a latency-critical task there is without headroom in any case, would lose too
 * much headroom, or too little CPU is unused.
 */
export type SpeedLimit = "noHeadroom" | "interference" | "noSpareCpu";

/** What a placement on a worker would cost, and the speed that the task could have there. */
export interface PlacementOffer {
    /** The lowest wins. */
    readonly cost: number;
    /** Speed at which the task may run, in percent of full speed. */
    readonly speedPercent: number;
    /** What limits the speed; `undefined` at full speed. */
    readonly limit: SpeedLimit | undefined;
}

/** Assesses placements on workers with enough free capacity. */
export abstract class PlacementPolicy {
    /**
     * @param task The task.
     * @param worker A worker with enough free capacity.
     * @param forecast Free capacity of the worker, and its latency-critical tasks.
     * @returns What a placement of the task there would cost, and at which speed it could run.
     */
    abstract assess(task: Task, worker: WorkerContact, forecast: WorkerForecast): PlacementOffer;
}
