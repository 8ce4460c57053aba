const BITS_PER_WORD = 32;

/** Set of occurrences of a job. It takes one bit for each, since a job may have hundreds of thousands. */
export class OccurrenceSet {
    private words = new Uint32Array(1);
    private count = 0;
    private highest = -1;

    private constructor() {}

    /** @returns A set without occurrences. */
    static create(): OccurrenceSet {
        return new OccurrenceSet();
    }

    /** Number of its occurrences. */
    get size(): number {
        return this.count;
    }

    /** One after its last occurrence. */
    get end(): number {
        return this.highest + 1;
    }

    /** @param occurrence Number of an occurrence. @returns Whether it is in the set. */
    has(occurrence: number): boolean {
        return ((this.words[Math.floor(occurrence / BITS_PER_WORD)] ?? 0) & bitOf(occurrence)) !== 0;
    }

    /** @param occurrence Number of an occurrence. */
    add(occurrence: number): void {
        const index = Math.floor(occurrence / BITS_PER_WORD);
        if (index >= this.words.length) {
            const words = new Uint32Array(Math.max(index + 1, this.words.length * 2));
            words.set(this.words);
            this.words = words;
        }
        this.count += this.has(occurrence) ? 0 : 1;
        this.words[index] |= bitOf(occurrence);
        this.highest = Math.max(this.highest, occurrence);
    }

    /** @returns Its occurrences in a range, in their order. @param from First one. @param to One after the last one. */
    *range(from: number, to: number): Generator<number> {
        const end = Math.min(to, this.end);
        for (let occurrence = from; occurrence < end; occurrence++) {
            if (this.has(occurrence)) {
                yield occurrence;
            }
        }
    }
}

function bitOf(occurrence: number): number {
    return 1 << (occurrence % BITS_PER_WORD);
}
