/** An upstream of a service. */
export interface UpstreamListing {
    readonly worker: string;
    readonly address: string;
    readonly region: string;
}

/** Provides the upstreams of each service and the slots that this instance may use. */
export abstract class SlotSource {
    /** @param service Name of a service. @returns Its upstreams on workers that are not leaving. */
    abstract upstreams(service: string): readonly UpstreamListing[];
    /** @param worker Name of a worker. @param now Time in ms. @returns Slots of the worker that may be used. */
    abstract slots(worker: string, now: number): number;
    /** @param worker Name of a worker. @returns Address of the upstream on it. */
    abstract address(worker: string): string;
}
