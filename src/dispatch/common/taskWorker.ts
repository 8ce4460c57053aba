import { WorkerEntry } from "./workerEntry";
import { ListOrder, OrderOutcome, RunList, StartOrder, StopOrder, ThrottleOrder } from "./workerTraffic";

/** Answer of a worker to an order. */
export interface OrderAnswer {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock in ms, if the answer has one. */
    readonly clockMs: number | undefined;
    readonly list?: RunList;
}

/** Calls workers. */
export abstract class TaskWorkers {
    /** Starts a task, or confirms that the run is there already. */
    abstract start(worker: WorkerEntry, order: StartOrder): Promise<OrderAnswer>;

    /** Stops a run and rejects it if it comes later. */
    abstract stop(worker: WorkerEntry, order: StopOrder): Promise<OrderAnswer>;

    /** Sets the speed of a run. */
    abstract throttle(worker: WorkerEntry, order: ThrottleOrder): Promise<OrderAnswer>;

    /** Lists runs and ends. */
    abstract list(worker: WorkerEntry, order: ListOrder): Promise<OrderAnswer>;

    /** Releases the connections to a worker that is gone. */
    abstract forget(worker: WorkerEntry): void;
}
