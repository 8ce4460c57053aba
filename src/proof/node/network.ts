import { Random } from "./random";

/** Range of the usual delay of a message, in ms. */
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 25;

/** Ratio of messages that are much slower, and their maximum delay in ms. */
const SLOW_MESSAGE_RATIO = 0.01;
const MAX_SLOW_DELAY_MS = 30_000;

/** Name of the log service as an endpoint of messages. */
export const LOG_ENDPOINT = "log";

/** Decides on delays of messages and tells which endpoints are cut off from each other. */
export class Network {
    private readonly cuts = new Set<string>();

    private constructor(
        private readonly random: Random,
        /** Whether no message is very slow and no attempt of a request fails without an injected fault. */
        readonly isReliable: boolean,
    ) {}

    /**
     * @param random Source of the delays.
     * @param isReliable Whether no message is very slow and no attempt of a request fails without an injected fault.
     * @returns A network without cuts.
     */
    static create(random: Random, isReliable: boolean): Network {
        return new Network(random, isReliable);
    }

    /** @returns Delay of the next message, in ms. */
    nextDelayMs(): number {
        if (!this.isReliable && this.random.chance(SLOW_MESSAGE_RATIO)) {
            return this.random.between(MAX_DELAY_MS, MAX_SLOW_DELAY_MS);
        }
        return this.random.between(MIN_DELAY_MS, MAX_DELAY_MS);
    }

    /** Cuts two endpoints off from each other. */
    cut(one: string, other: string): void {
        this.cuts.add(linkKey(one, other));
    }

    /** Removes all cuts. */
    healAll(): void {
        this.cuts.clear();
    }

    /** @returns Whether two endpoints are cut off from each other. */
    isCut(one: string, other: string): boolean {
        return this.cuts.has(linkKey(one, other));
    }
}

function linkKey(one: string, other: string): string {
    return one < other ? `${one}|${other}` : `${other}|${one}`;
}
