import { Capacity } from "../../services/common/instanceList";
import { FamilySpread } from "./familySpread";
import { ClassLoad } from "./interferenceModel";
import { TaskSize } from "./taskEntry";

/** A worker that a task might be placed on. */
export interface Candidate {
    readonly worker: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly capacity: Capacity;
    /** Free slots for batch tasks. */
    freeSlots: number;
    /** Free resources, after all that is reserved for tasks and for the slots of services. */
    free: TaskSize;
    /** Batch tasks there, by family. */
    readonly batch: readonly ClassLoad[];
    /** Services there, with the slots of theirs that are busy. */
    readonly services: readonly ClassLoad[];
    /** Whether demand of the services there is close to their share, 0 to 1. */
    readonly servicePressure: number;
    /** How the families are spread over the racks and failure domains of the shard. */
    readonly spread: FamilySpread;
}

/**
 * @param candidate A worker.
 * @param size What a task needs.
 * @returns Whether the worker has room for it.
 */
export function fits(candidate: Candidate, size: TaskSize): boolean {
    return (
        candidate.freeSlots >= 1 &&
        candidate.free.cpus >= size.cpus &&
        candidate.free.memoryGb >= size.memoryGb &&
        candidate.free.accelerators >= size.accelerators
    );
}
