import { Candidate } from "./candidate";
import { PlacementPolicy } from "./placementPolicy";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Chooses the worker with the largest fraction of its CPUs free. */
export class LeastLoaded extends PlacementPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): LeastLoaded {
        return new LeastLoaded();
    }

    override choose(_task: Task, _size: TaskSize, candidates: readonly Candidate[]): Candidate | undefined {
        return candidates.reduce((best, each) => (freeShare(each) > freeShare(best) ? each : best));
    }
}

function freeShare(candidate: Candidate): number {
    return candidate.free.cpus / candidate.capacity.cpus;
}
