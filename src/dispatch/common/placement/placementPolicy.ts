import { StepSpec } from "../../../jobs/common/jobSpec";
import { Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";
import { WorkerForecast } from "../workers/workerForecast";

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
    /** Whether the task may start there below full speed, after a wait. */
    readonly isOpenBelowFullSpeed: boolean;
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

    /** @returns Image on which `fullSpeedMillis` depends for a step, if it does. */
    abstract boundsImage(step: StepSpec): string | undefined;

    /** @returns Time ahead on which `fullSpeedMillis` depends for a step, in s. */
    abstract boundsHorizonS(step: StepSpec): number;

    /**
     * @param step A step, of which it uses the image and the horizon.
     * @param worker A worker.
     * @param forecast Its forecast.
     * @returns Upper bound of the CPU that a task may request to be offered full speed there, in thousandths of a core.
     */
    abstract fullSpeedMillis(step: StepSpec, worker: WorkerContact, forecast: WorkerForecast): number;

    /** @returns Whether any task may be offered less than full speed on a worker. */
    abstract mayOpenBelowFullSpeed(worker: WorkerContact, forecast: WorkerForecast): boolean;
}
