import { TaskRequest } from "../../jobs/common/jobSpec";

/** Whether a worker takes new tasks. */
export type WorkerState = "ready" | "draining";

/** A worker as the platform lists it. */
export interface WorkerEntry {
    readonly id: string;
    /** When this life of the worker began, in ms since the Unix epoch. */
    readonly incarnation: number;
    readonly service: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: WorkerState;
    /** How much longer the worker is slow after its start, in ms. */
    readonly warmupLeftMs: number;
    /** Least time until a draining worker leaves, in ms, if it says so. */
    readonly drainLeftMs?: number;
    readonly capacity: TaskRequest;
    readonly labels: readonly string[];
    readonly rack: string;
}
