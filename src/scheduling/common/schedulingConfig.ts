import { PolicyWeights } from "./policyWeights";
import { TeamQuota } from "./teamQuota";

/** What one slot of a service needs. */
export interface ServiceSlot {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Answers what the tickets in force say on scheduling. */
export abstract class SchedulingConfig {
    /** @returns Weights of the three measures. */
    abstract weights(): PolicyWeights;
    /** @param team Name of a team. @returns Its quota over the whole deployment. */
    abstract quota(team: string): TeamQuota;
    /** @param service Name of a service. @returns What one slot of it needs. */
    abstract serviceSlot(service: string): ServiceSlot;
    /** @returns Slots of each worker with a service that the service gets at the least. */
    abstract minServiceSlots(): number;
    /** @returns Longest time of a request, in ms. */
    abstract requestTailMs(): number;
    /** @param worker Name of a worker. @returns Whether operators want it emptied. */
    abstract isDrained(worker: string): boolean;
}
