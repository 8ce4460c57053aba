import { ServiceLatency } from "../../coordination/common/grant";

/** What the requests of this instance use and want. */
export abstract class RequestUsage {
    /** Number of requests that have no answer yet, or were given up and may still be running. */
    abstract get openCount(): number;
    /** @param worker Name of a worker. @param now Time in ms. @returns Slots of it that requests here may be using. */
    abstract usedSlots(worker: string, now: number): number;
    /** @returns Slots wanted by service, smoothed over time and never below what is busy now. */
    abstract demand(): ReadonlyMap<string, number>;
    /** @returns Latency of each upstream relative to the fastest one of the service. */
    abstract latencies(services: Iterable<string>): ServiceLatency[];
}
