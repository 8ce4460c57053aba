import { Candidate } from "./candidate";
import { PlacementPolicy } from "./placementPolicy";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Takes the first worker with room. */
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
