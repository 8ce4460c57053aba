/** Time for which what one request sends is parsed at once; a request of some KB takes a tenth of it. */
const MAX_PROMPT_MS = 1;

/** Time for which costly requests are parsed in one turn, and the share of all time that this may take. */
const TURN_MS = 4;
const MAX_TIME_RATIO = 1 / 4;

/** Longest pause, if a turn took long because the process did not run. */
const MAX_PAUSE_MS = 20;

/**
 * Shares the time of the loop between clients. Answers the load of bodies in very many small chunks, of which a few MB take
 * seconds: requests that cost more than most are parsed in turn, and in a bounded share of the time.
 */
export class ParsingShare<Client> {
    private readonly queue = new Set<Client>();

    private constructor() {}

    /** @returns A share in which nobody waits. */
    static create<Client>(): ParsingShare<Client> {
        return new ParsingShare();
    }

    /** Whether costly requests wait for their turn. */
    get isWaiting(): boolean {
        return this.queue.size > 0;
    }

    /** @param costMs Time that a request has taken so far. @returns Whether it has to wait for its turn. */
    isCostly(costMs: number): boolean {
        return costMs >= MAX_PROMPT_MS;
    }

    /** Lets a client wait for its turn. */
    add(client: Client): void {
        this.queue.add(client);
    }

    /** Removes a client that is gone. */
    remove(client: Client): void {
        this.queue.delete(client);
    }

    /**
     * Lets clients have a turn, one after the other.
     * @param parse Parses a piece of what a client has sent, and returns the time that it took, in ms.
     * @returns Time until the next turn, in ms.
     */
    takeTurn(parse: (client: Client) => number): number {
        let turnMs = 0;
        for (const client of [...this.queue]) {
            if (turnMs >= TURN_MS) {
                break;
            }
            this.queue.delete(client);
            turnMs += parse(client);
        }
        return Math.min(MAX_PAUSE_MS, turnMs * (1 / MAX_TIME_RATIO - 1));
    }
}
