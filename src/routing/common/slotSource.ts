/** An upstream of a service. */
export interface UpstreamListing {
    readonly worker: string;
    readonly address: string;
    readonly region: string;
}

/** Answers which upstreams there are and how many slots of each may be used now. */
export abstract class SlotSource {
    /** @param service Name of a service. @returns Its upstreams that are not leaving. */
    abstract upstreams(service: string): readonly UpstreamListing[];
    /** @param worker Name of a worker. @param now Time in ms. @returns Slots of it that may be used. */
    abstract slots(worker: string, now: number): number;
    /** @param worker Name of a worker. @returns Address of the upstream on it. */
    abstract address(worker: string): string;
}
