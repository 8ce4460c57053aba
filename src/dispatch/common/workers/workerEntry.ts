import { TaskRequest } from "../../../jobs/common/jobSpec";

/** Whether a worker accepts new tasks. */
export type WorkerState = "ready" | "draining";

/** A worker's entry in service discovery. */
export interface WorkerEntry {
    readonly id: string;
    /** When this incarnation of the worker started, in ms since the Unix epoch. */
    readonly incarnation: number;
    readonly service: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: WorkerState;
    /** Remaining time for which the worker is slow after its start, in ms. */
    readonly warmupLeftMs: number;
    /** Minimum time until a draining worker leaves, in ms, if known. */
    readonly drainLeftMs?: number;
    readonly capacity: TaskRequest;
    readonly labels: readonly string[];
    readonly rack: string;
}

/** An entry as it was read from service discovery. */
export interface EntryReading {
    readonly entry: WorkerEntry;
    /** Time (ms) after which the entry was certainly written, or `undefined` if it may be of any age. */
    readonly writtenAfter: number | undefined;
}

/** @param id Identifier of a worker. @param incarnation Its incarnation. @returns An entry of one that is not registered. */
export function deregisteredEntry(id: string, incarnation: number): WorkerEntry {
    return {
        id,
        incarnation,
        service: "",
        address: "",
        failureDomain: "",
        state: "ready",
        warmupLeftMs: 0,
        capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        labels: [],
        rack: "",
    };
}
