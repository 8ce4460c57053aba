import { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Candidate } from "./candidate";
import { PlacementPolicy } from "./placementPolicy";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Chooses a random worker among those with enough free capacity. */
export class RandomFit extends PlacementPolicy {
    private constructor(private readonly random: RandomGenerator) {
        super();
    }

    /** @param seed Seed of the random generator. @returns The policy. */
    static create(seed: number): RandomFit {
        return new RandomFit(xoroshiro128plus(seed));
    }

    override choose(_task: Task, _size: TaskSize, candidates: readonly Candidate[]): Candidate | undefined {
        return candidates[uniformInt(this.random, 0, candidates.length - 1)];
    }
}
