/** Limit of the keys that are remembered. Further ones are not logged until others are valid or removed. */
const MAX_KEYS = 1_000;

/** The keys of a stream whose newest record is malformed, each of which is logged once, however often it is written. */
export class MalformedKeys {
    private readonly keys = new Set<string>();

    private constructor() {}

    /** @returns No keys. */
    static create(): MalformedKeys {
        return new MalformedKeys();
    }

    /**
     * Records the newest record of a key.
     * @param key The key.
     * @param isMalformed Whether the record is malformed.
     * @returns Whether it is to be logged.
     */
    update(key: string, isMalformed: boolean): boolean {
        if (!isMalformed) {
            this.keys.delete(key);
            return false;
        }
        const isNew = !this.keys.has(key) && this.keys.size < MAX_KEYS;
        if (isNew) {
            this.keys.add(key);
        }
        return isNew;
    }

    /** Forgets all keys but these. */
    retain(keys: ReadonlySet<string>): void {
        [...this.keys].filter(key => !keys.has(key)).forEach(key => this.keys.delete(key));
    }
}
