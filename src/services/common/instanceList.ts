import { Result } from "ts-results";

/** Whether the platform keeps a machine or is about to remove it. */
export type Availability = "live" | "leaving";

/** Capacity of a worker. */
export interface Capacity {
    readonly slots: number;
    readonly connections: number;
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** A worker as registered in service discovery. */
export interface WorkerListing {
    readonly id: string;
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly rack: string;
    readonly availability: Availability;
    readonly capacity: Capacity;
    /** Services whose upstream runs on the worker. */
    readonly services: readonly string[];
}

/** An entry instance of the system as registered in service discovery. */
export interface EntryListing {
    readonly address: string;
    readonly region: string;
    readonly availability: Availability;
}

/** All workers and entry instances registered in service discovery. */
export interface InstanceListing {
    readonly workers: readonly WorkerListing[];
    readonly entries: readonly EntryListing[];
}

/** The platform's service discovery: its list of live and leaving instances, which is eventually consistent. */
export abstract class InstanceList {
    /** @returns The list, `undefined` if it has not changed since the last call, or why it could not be read. */
    abstract read(): Promise<Result<InstanceListing | undefined, string>>;
}
