import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { ClientConnection } from "../common/clientConnection";
import { ConnectionHost } from "../common/connectionHost";
import { IngressGuard, IngressPort } from "../common/ingressGuard";
import { RefusalReason } from "../common/refusalReason";
import { SLICE_BYTES } from "./bodyBuffer";
import { BodyPool } from "./bodyPool";
import { Collector } from "./collector";
import { ParsingTurns, TurnTaker } from "./parsingTurns";

/** Ends of a header; the parser may accept the second one. */
const HEADER_ENDS = ["\r\n\r\n", "\n\n"] as const;

/** What the connections of a process share. */
export interface SharedResources {
    readonly turns: ParsingTurns;
    readonly pool: BodyPool;
    readonly collector: Collector;
}

/** Edge of one connection, on behalf of the stream that the HTTP server reads. */
class StreamHost extends ConnectionHost {
    /** Set when the connection was admitted. */
    stream: GuardedConnection | undefined;

    private constructor() {
        super();
    }

    static create(): StreamHost {
        return new StreamHost();
    }

    override close(): void {
        this.stream?.destroy();
    }

    override refuse(reason: RefusalReason): void {
        this.stream?.refuse(reason);
    }

    override resume(): void {
        this.stream?.feed();
    }
}

/**
 * The stream of a connection as the HTTP server reads it. It hands over one request at a time, so that requests that were sent
 * ahead wait in the socket.
 */
export class GuardedConnection extends Duplex implements TurnTaker {
    private isWanted = false;
    private isFeeding = false;
    /** Time that the present request has taken to parse, in ms. */
    private costMs = 0;
    private request: IncomingMessage | undefined;
    private onRefused: ((reason: RefusalReason) => void) | undefined;

    private constructor(
        private readonly socket: Socket,
        private readonly guard: IngressGuard,
        private readonly entry: ClientConnection,
        private readonly shared: SharedResources,
    ) {
        super({ allowHalfOpen: true, readableHighWaterMark: SLICE_BYTES });
        socket.on("readable", () => this.feed());
        // A read of a stream that has ended returns the end.
        socket.on("end", () => this.push(socket.read()));
        socket.on("error", error => this.destroy(error));
        socket.on("close", () => this.destroy());
        // The HTTP server reports errors of the stream; there is none yet, or none any more.
        this.on("error", () => undefined);
    }

    /**
     * @param socket A new connection.
     * @param guard Decides about it.
     * @param port Port on which it came.
     * @param shared What it shares with the others.
     * @returns The stream; `undefined` if the connection is refused and closed.
     */
    static create(
        socket: Socket,
        guard: IngressGuard,
        port: IngressPort,
        shared: SharedResources,
    ): GuardedConnection | undefined {
        const host = StreamHost.create();
        const entry = guard.admit(port, host, performance.now());
        if (entry === undefined) {
            socket.destroy();
            return undefined;
        }
        const stream = new GuardedConnection(socket, guard, entry, shared);
        host.stream = stream;
        return stream;
    }

    /** @param request A request. @returns Its connection, if that is guarded. */
    static of(request: IncomingMessage): GuardedConnection | undefined {
        return request.socket instanceof GuardedConnection ? request.socket : undefined;
    }

    /** Memory of large bodies. */
    get pool(): BodyPool {
        return this.shared.pool;
    }

    /** Whether no request is under way. */
    get isIdle(): boolean {
        return this.entry.state === "idle";
    }

    /** Follows a request whose header was read. */
    begin(request: IncomingMessage, response: ServerResponse): void {
        const { entry } = this;
        let wasSent = false;
        this.noteRead();
        this.request = request;
        entry.recordRequest();
        // The parser reads a part of a body only after its reader has consumed the part before it.
        request.once("end", () => this.noteRead());
        response.once("prefinish", () => {
            wasSent = true;
            entry.recordAnswerSent(performance.now());
        });
        response.once("close", () => {
            entry.recordAnswered(wasSent, performance.now());
            this.feed();
        });
    }

    /**
     * Asks for room for a large body; the connection is held until there is some.
     * @param maxBodyBytes Largest size of a body.
     * @param onRefused Called if there is none in time.
     */
    requestRoom(maxBodyBytes: number, onRefused: (reason: RefusalReason) => void): void {
        this.onRefused = onRefused;
        this.guard.requestRoom(this.entry, maxBodyBytes, performance.now());
    }

    /** Gives the room back. */
    releaseRoom(): void {
        this.onRefused = undefined;
        this.guard.releaseRoom(this.entry, performance.now());
    }

    /** Reads nothing more, for a request that the guard or its reader refuses. */
    refuse(reason: RefusalReason): void {
        const { onRefused } = this;
        this.onRefused = undefined;
        this.entry.recordRefused(performance.now());
        onRefused?.(reason);
    }

    /** Takes note of a request that its reader refuses. */
    recordRefusal(reason: RefusalReason): void {
        this.guard.recordRefusal(this.entry.port, reason);
    }

    /** Hands over what was received, as far as the guard lets it. */
    feed(): void {
        const { turns } = this.shared;
        while (this.canFeed) {
            if (turns.isCostly(this.costMs)) {
                turns.add(this);
                return;
            }
            if (!this.feedSlice()) {
                return;
            }
        }
    }

    /** Hands over one slice of a costly request. @returns Time that it took, in ms. */
    feedInTurn(): number {
        const { costMs } = this;
        if (this.canFeed && this.feedSlice()) {
            const tookMs = Math.max(0, this.costMs - costMs);
            this.feed();
            return tookMs;
        }
        return 0;
    }

    private get canFeed(): boolean {
        return this.isWanted && !this.isFeeding && !this.entry.isHeld && !this.destroyed;
    }

    /** @returns Whether there was something to hand over. */
    private feedSlice(): boolean {
        const slice = this.readSlice();
        if (slice !== undefined) {
            this.isFeeding = true;
            this.deliver(slice);
            this.isFeeding = false;
        }
        return slice !== undefined;
    }

    override _read(): void {
        this.isWanted = true;
        this.feed();
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, onDone: (error?: Error | null) => void): void {
        this.socket.write(chunk, error => {
            this.entry.recordTaken(chunk.length);
            onDone(error);
        });
    }

    override _final(onDone: (error?: Error | null) => void): void {
        this.entry.recordRefused(performance.now());
        this.socket.end(() => onDone());
    }

    override _destroy(error: Error | null, onDone: (error?: Error | null) => void): void {
        this.guard.remove(this.entry, performance.now());
        this.shared.turns.remove(this);
        this.shared.collector.recordClosed();
        this.socket.destroy();
        onDone(error);
    }

    /** Reads up to the end of a header, so that no request is parsed beside another one. */
    private readSlice(): Buffer | undefined {
        const { socket } = this;
        const size = Math.min(socket.readableLength, SLICE_BYTES);
        // Without a size, it also asks for more, and notices the end.
        const slice = ((size > 0 ? socket.read(size) : socket.read()) as Buffer | null) ?? undefined;
        const end = slice === undefined ? 0 : endOfHeader(slice);
        if (slice === undefined || end === slice.length) {
            return slice;
        }
        socket.unshift(slice.subarray(end));
        return slice.subarray(0, end);
    }

    private deliver(slice: Buffer): void {
        const now = performance.now();
        this.shared.collector.recordRead(slice.length);
        this.entry.recordReceived(slice.length, now);
        this.isWanted = this.push(slice);
        this.costMs += performance.now() - now;
        this.noteRead();
    }

    private noteRead(): void {
        if (this.request?.complete === true) {
            this.request = undefined;
            this.costMs = 0;
            this.entry.recordRequestRead(performance.now());
        }
    }
}

/** @returns Where the first header ends in a slice, or the length of the slice. */
function endOfHeader(slice: Buffer): number {
    const ends = HEADER_ENDS.map(end => ({ at: slice.indexOf(end), length: end.length })).filter(({ at }) => at >= 0);
    return ends.reduce((first, { at, length }) => Math.min(first, at + length), slice.length);
}
