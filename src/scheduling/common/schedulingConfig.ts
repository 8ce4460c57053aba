import { PolicyWeights } from "./policyWeights";
import { TeamQuota } from "./teamQuota";

/** Resources that one slot of a service needs. */
export interface ServiceSlot {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Scheduling settings of the tickets in force. */
export abstract class SchedulingConfig {
    /** @returns Weights of the three objectives. */
    abstract weights(): PolicyWeights;
    /** @param team Name of a team. @returns Its quota over the whole deployment. */
    abstract quota(team: string): TeamQuota;
    /** @param service Name of a service. @returns Resources that one slot of it needs. */
    abstract serviceSlot(service: string): ServiceSlot;
    /** @returns Minimum number of slots for services on each worker that runs one. */
    abstract minServiceSlots(): number;
    /** @returns Maximum duration of a request, in ms. */
    abstract maxRequestMs(): number;
    /** @param worker Name of a worker. @returns Whether operators are draining it. */
    abstract isDrained(worker: string): boolean;
}
