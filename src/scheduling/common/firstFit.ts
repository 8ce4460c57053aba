import { Candidate } from "./candidate";
import { PlacementPolicy } from "./placementPolicy";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Chooses the first worker with enough free capacity. */
export class FirstFit extends PlacementPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): FirstFit {
        return new FirstFit();
    }

    override choose(_task: Task, _size: TaskSize, candidates: readonly Candidate[]): Candidate | undefined {
        return candidates[0];
    }
}
