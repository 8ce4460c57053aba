import { ServiceLatency } from "../../coordination/common/grant";

/** Slots that the requests of this instance use and need. */
export abstract class RequestUsage {
    /** Number of requests that are open, or were abandoned and may still be running. */
    abstract get openCount(): number;
    /**
     * @param worker Name of a worker.
     * @param now Time in ms.
     * @returns Slots of the worker that requests of this instance may be using.
     */
    abstract usedSlots(worker: string, now: number): number;
    /** @returns Demand in slots by service, smoothed over time and never below the number of open requests. */
    abstract demand(): ReadonlyMap<string, number>;
    /** @returns Latency of each upstream, relative to the fastest one of the service. */
    abstract latencies(services: Iterable<string>): ServiceLatency[];
}
