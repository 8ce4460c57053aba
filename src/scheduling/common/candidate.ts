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
    /** Resources not reserved for tasks or service slots. */
    free: TaskSize;
    /** Number of batch tasks on the worker, by family. */
    readonly batch: readonly ClassLoad[];
    /** Services on the worker, each with the worker's granted service slots as its load. */
    readonly services: readonly ClassLoad[];
    /** Demand of the services there as a ratio of their share, at most 1. */
    readonly serviceUtilization: number;
    /** Distribution of the families over the racks and failure domains of the shard. */
    readonly spread: FamilySpread;
}

/**
 * @param candidate A worker.
 * @param size What a task needs.
 * @returns Whether the worker has enough free capacity for it.
 */
export function fits(candidate: Candidate, size: TaskSize): boolean {
    return (
        candidate.freeSlots >= 1 &&
        candidate.free.cpus >= size.cpus &&
        candidate.free.memoryGb >= size.memoryGb &&
        candidate.free.accelerators >= size.accelerators
    );
}
