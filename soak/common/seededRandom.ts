import { Random } from "../../src/proof/node/random";

/** Factor that spreads neighbouring seeds over all bits. */
const SEED_FACTOR = 0x9e3779b1;

/** Number of purposes. */
const PURPOSES = 4;

/** Number of numbers to discard: the first ones of a generator depend nearly linearly on its seed. */
const DISCARDED = 20;

/**
 * @param seed Seed of a run.
 * @param purpose Number of a purpose; what is drawn for one does not change the others.
 * @returns Random numbers that have nothing in common with those of neighbouring seeds.
 */
export function createSeededRandom(seed: number, purpose: number): Random {
    const random = Random.create(Math.imul(seed * PURPOSES + purpose + 1, SEED_FACTOR));
    for (let index = 0; index < DISCARDED; index++) {
        random.fraction();
    }
    return random;
}
