import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Pseudorandom numbers that are reproducible by their seed. */
export class Random {
    private constructor(private readonly generator: RandomGenerator) {}

    /** @param seed Seed of the generator. @returns A generator. */
    static create(seed: number): Random {
        return new Random(xoroshiro128plus(seed));
    }

    /** @returns A number from 0 (included) to 1 (excluded). */
    fraction(): number {
        return uniformFloat64(this.generator);
    }

    /** @param probability A number from 0 to 1. @returns True with that probability. */
    chance(probability: number): boolean {
        return this.fraction() < probability;
    }

    /** @returns An integer from `low` to `high`, both included. */
    between(low: number, high: number): number {
        return uniformInt(this.generator, low, high);
    }

    /** @param items Items to choose from; not empty. @returns One of them. */
    pick<T>(items: readonly T[]): T {
        return items[this.between(0, items.length - 1)];
    }
}
