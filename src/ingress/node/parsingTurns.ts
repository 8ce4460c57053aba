import { Disposable } from "../../base/common/disposable";
import { ParsingShare } from "../common/parsingShare";

/** A connection whose requests are parsed in turn. */
export interface TurnTaker {
    /** Parses a piece of what was received. @returns Time that it took, in ms. */
    feedInTurn(): number;
}

/** Gives connections with costly requests their turns. */
export class ParsingTurns implements Disposable {
    private readonly share = ParsingShare.create<TurnTaker>();
    private timer: NodeJS.Timeout | undefined;
    private pausedUntil = 0;

    private constructor() {}

    /** @returns Turns that nobody waits for. */
    static create(): ParsingTurns {
        return new ParsingTurns();
    }

    /** @param costMs Time that a request has taken so far. @returns Whether it has to wait for its turn. */
    isCostly(costMs: number): boolean {
        return this.share.isCostly(costMs);
    }

    /** Lets a connection wait for its turn. */
    add(connection: TurnTaker): void {
        this.share.add(connection);
        this.timer ??= setTimeout(() => this.run(), Math.max(0, this.pausedUntil - performance.now()));
    }

    /** Removes a connection that is closed. */
    remove(connection: TurnTaker): void {
        this.share.remove(connection);
    }

    dispose(): void {
        clearTimeout(this.timer);
    }

    private run(): void {
        // Connections that go on add themselves again.
        const pauseMs = this.share.takeTurn(connection => connection.feedInTurn());
        this.pausedUntil = performance.now() + pauseMs;
        this.timer = this.share.isWaiting ? setTimeout(() => this.run(), pauseMs) : undefined;
    }
}
