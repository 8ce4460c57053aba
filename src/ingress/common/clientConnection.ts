import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { ConnectionHost } from "./connectionHost";
import chartText from "./connection.chart.yaml";

/** What is awaited on a connection. */
export type ConnectionState = "idle" | "receiving" | "working" | "answering" | "lingering" | "closed";
type ConnectionEvent = "received" | "request-read" | "answer-sent" | "answer-taken" | "refused" | "closed";
type ConnectionGuard = "hasUnread" | "hasWork" | "hasPartial";
type ConnectionAction = "beginPhase";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ConnectionState, ConnectionEvent, ConnectionGuard, ConnectionAction>(
        chartText,
        "connection.chart.yaml",
        {
            states: ["idle", "receiving", "working", "answering", "lingering", "closed"],
            events: ["received", "request-read", "answer-sent", "answer-taken", "refused", "closed"],
            guards: ["hasUnread", "hasWork", "hasPartial"],
            actions: ["beginPhase"],
        },
    ),
);

const MS_PER_SECOND = 1_000;

/** How a connection has room for a large body. */
export type BodyRoom = "none" | "waiting" | "granted";

/** What a client does on one connection, and for how long. Times are in ms. */
export class ClientConnection {
    private readonly machine: Machine<number, ConnectionState, ConnectionEvent, ConnectionGuard, ConnectionAction>;
    private phaseSince: number;
    /** Bytes that the client has sent or taken since the phase began. */
    private phaseBytes = 0;
    private atWork = 0;
    private unread = 0;
    /** Whether a part of a request was received, and whether that is its whole header. */
    private isPartial = false;
    private isBodyDue = false;
    private waitingSince = 0;
    private room: BodyRoom = "none";

    private constructor(
        /** Name of the port. */
        readonly port: string,
        readonly host: ConnectionHost,
        private readonly maxRequests: number,
        now: number,
    ) {
        this.phaseSince = now;
        this.machine = Machine.create(chart, {
            guards: {
                hasUnread: () => this.unread > 0,
                hasWork: () => this.atWork > (this.isBodyDue ? 1 : 0),
                hasPartial: () => this.isPartial,
            },
            actions: { beginPhase: at => this.beginPhase(at) },
        });
    }

    /**
     * @param port Name of the port.
     * @param host Carries out what is decided about the connection.
     * @param maxRequests Requests that may be at work.
     * @param now Time in ms.
     * @returns A connection on which nothing has been sent.
     */
    static create(port: string, host: ConnectionHost, maxRequests: number, now: number): ClientConnection {
        return new ClientConnection(port, host, maxRequests, now);
    }

    get state(): ConnectionState {
        return this.machine.state;
    }

    get bodyRoom(): BodyRoom {
        return this.room;
    }

    /** Whether nothing may be read for now. */
    get isHeld(): boolean {
        const { state } = this.machine;
        const isFull = this.atWork >= this.maxRequests && !this.isBodyDue;
        return isFull || this.room === "waiting" || state === "lingering" || state === "closed";
    }

    /** @returns Time since the phase began, in ms. */
    phaseMs(now: number): number {
        return now - this.phaseSince;
    }

    /** @returns Time for which it has waited for room, in ms. */
    waitedMs(now: number): number {
        return this.room === "waiting" ? now - this.waitingSince : 0;
    }

    /**
     * @param bytesPerS Pace that is asked for.
     * @returns Time by which the client is behind that pace, in ms; 0 if nothing is awaited from it.
     */
    lagMs(now: number, bytesPerS: number): number {
        const isOwing = this.state === "receiving" || this.state === "answering";
        if (!isOwing || this.room === "waiting") {
            return 0;
        }
        return now - this.phaseSince - (this.phaseBytes * MS_PER_SECOND) / bytesPerS;
    }

    /** Records bytes that are received. */
    recordReceived(bytes: number, now: number): void {
        this.isPartial = true;
        this.machine.fire("received", now);
        if (this.state === "receiving") {
            this.phaseBytes += bytes;
        }
    }

    /** Records that the header of a request was read. */
    recordRequest(): void {
        this.atWork += 1;
        this.isBodyDue = true;
    }

    /** Records that a request was read to its end. */
    recordRequestRead(now: number): void {
        this.isPartial = false;
        this.isBodyDue = false;
        this.machine.fire("request-read", now);
    }

    /** Records that an answer is complete and has to be taken. */
    recordAnswerSent(now: number): void {
        this.unread += 1;
        this.machine.fire("answer-sent", now);
    }

    /** Records bytes of answers that were taken. */
    recordTaken(bytes: number): void {
        if (this.state === "answering") {
            this.phaseBytes += bytes;
        }
    }

    /** Records that a request has been answered, or given up. @param wasSent Whether its answer was complete. */
    recordAnswered(wasSent: boolean, now: number): void {
        this.atWork -= 1;
        this.unread -= wasSent ? 1 : 0;
        this.machine.fire("answer-taken", now);
    }

    /** Records that nothing more is read. */
    recordRefused(now: number): void {
        this.machine.fire("refused", now);
    }

    recordClosed(now: number): void {
        this.machine.fire("closed", now);
    }

    /** Records how it has room for a large body. Time that it waits is not its own. */
    recordRoom(room: BodyRoom, now: number): void {
        if (this.room === "waiting") {
            this.phaseSince += now - this.waitingSince;
        }
        this.room = room;
        this.waitingSince = now;
    }

    private beginPhase(now: number): void {
        this.phaseSince = now;
        this.phaseBytes = 0;
    }
}
