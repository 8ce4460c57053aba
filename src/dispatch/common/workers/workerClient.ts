import { WorkerEntry } from "./workerEntry";
import { ListOrder, OrderOutcome, RunList, StartOrder, StopOrder, ThrottleOrder } from "./workerMessages";

/** Answer of a worker to an order. */
export interface OrderAnswer {
    readonly outcome: OrderOutcome;
    /** Reading of the worker's clock in ms, if the answer contains one. */
    readonly clockMs: number | undefined;
    readonly list?: RunList;
    /** Time for which the order waited before it was sent, in ms, if it is known. */
    readonly unsentMs?: number;
}

/** Client for the orders to workers. */
export abstract class WorkerClient {
    /** Starts a run; succeeds as well if the run is there already. */
    abstract start(worker: WorkerEntry, order: StartOrder): Promise<OrderAnswer>;

    /** Stops a run; a start of it that arrives later is rejected. */
    abstract stop(worker: WorkerEntry, order: StopOrder): Promise<OrderAnswer>;

    /** Sets the speed of a run. */
    abstract throttle(worker: WorkerEntry, order: ThrottleOrder): Promise<OrderAnswer>;

    /** Lists the runs of a worker and those that have ended. */
    abstract listRuns(worker: WorkerEntry, order: ListOrder): Promise<OrderAnswer>;

    /** Closes the connections to a worker that is gone. */
    abstract closeConnections(worker: WorkerEntry): void;
}
