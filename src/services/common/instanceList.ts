import { Result } from "ts-results";

/** Whether the platform keeps a machine or is taking it away. */
export type Availability = "live" | "leaving";

/** What a worker can hold. */
export interface Capacity {
    readonly slots: number;
    readonly connections: number;
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** A worker as the platform lists it. */
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

/** An entry instance of the system as the platform lists it. */
export interface EntryListing {
    readonly address: string;
    readonly region: string;
    readonly availability: Availability;
}

/** All that the platform lists. */
export interface Listing {
    readonly workers: readonly WorkerListing[];
    readonly entries: readonly EntryListing[];
}

/** The platform's list of live and leaving instances. It lags. */
export abstract class InstanceList {
    /** @returns The list, `undefined` when it has not changed since the last call, or why it cannot be read. */
    abstract read(): Promise<Result<Listing | undefined, string>>;
}
