import { Random } from "./random";

/** Usual delays of a message, in ms. */
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 25;

/** Share of the messages that are much slower, and how slow they are at the most, in ms. */
const SLOW_SHARE = 0.01;
const MAX_SLOW_DELAY_MS = 30_000;

/** Name of the log service among the ends of messages. */
export const LOG_END = "log";

/** Delays messages, and drops those between ends that are cut off from each other. */
export class Network {
    private readonly cuts = new Set<string>();

    private constructor(
        private readonly random: Random,
        /** Whether no message is very slow and no attempt of a request goes wrong by itself. */
        readonly isSound: boolean,
    ) {}

    /**
     * @param random Decides on delays.
     * @param isSound Whether no message is very slow and no attempt of a request goes wrong by itself.
     * @returns A network without cuts.
     */
    static create(random: Random, isSound: boolean): Network {
        return new Network(random, isSound);
    }

    /** @returns Delay of the next message, in ms. */
    delay(): number {
        if (!this.isSound && this.random.chance(SLOW_SHARE)) {
            return this.random.between(MAX_DELAY_MS, MAX_SLOW_DELAY_MS);
        }
        return this.random.between(MIN_DELAY_MS, MAX_DELAY_MS);
    }

    /** Cuts two ends off from each other. */
    cut(one: string, other: string): void {
        this.cuts.add(nameOf(one, other));
    }

    /** Joins all ends again. */
    healAll(): void {
        this.cuts.clear();
    }

    /** @returns Whether two ends are cut off from each other. */
    isCut(one: string, other: string): boolean {
        return this.cuts.has(nameOf(one, other));
    }
}

function nameOf(one: string, other: string): string {
    return one < other ? `${one}|${other}` : `${other}|${one}`;
}
