import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Reproducible random choices. */
export class Random {
    private constructor(private readonly generator: RandomGenerator) {}

    /** @param seed Seed of the choices. @returns The source of choices. */
    static create(seed: number): Random {
        return new Random(xoroshiro128plus(seed));
    }

    /** @returns A number from 0 to 1. */
    share(): number {
        return uniformFloat64(this.generator);
    }

    /** @param share A probability. @returns Whether it came true. */
    chance(share: number): boolean {
        return this.share() < share;
    }

    /** @returns A whole number from `low` to `high`, both included. */
    between(low: number, high: number): number {
        return uniformInt(this.generator, low, high);
    }

    /** @param items Items to choose from; not empty. @returns One of them. */
    pick<T>(items: readonly T[]): T {
        return items[this.between(0, items.length - 1)];
    }
}
