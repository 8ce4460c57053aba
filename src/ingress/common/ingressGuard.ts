import { Emitter } from "../../base/common/emitter";
import { BodyRoomQueue } from "./bodyRoomQueue";
import { ClientConnection } from "./clientConnection";
import { ConnectionHost } from "./connectionHost";
import { IngressLimits } from "./ingressLimits";
import { RefusalReason } from "./refusalReason";

/** While others wait, a client is given up that is behind this pace by more than this time. */
const PRESSURE_BYTES_PER_S = 16_384;
const PRESSURE_STALL_MS = 1_000;

/** Time for which a refused client may read its answer, in ms. */
const LINGER_MS = 500;

/** From this share of a port's connections on, those without progress are closed, so that new ones find room. */
const CROWDED_RATIO = 7 / 8;

/** A port on which clients connect. */
export interface IngressPort {
    /** Name in logs and metrics. */
    readonly name: string;
    readonly maxConnections: number;
    readonly maxRequests: number;
}

/** A client that was refused, or whose connection was closed. */
export interface Refusal {
    readonly port: string;
    readonly reason: RefusalReason;
}

/** A port and its open connections. */
interface PortConnections {
    readonly port: IngressPort;
    readonly connections: Set<ClientConnection>;
}

/** How cheap it is to close a connection without progress; the cheapest first. States that are left out are never closed. */
const CLOSING_RANKS: Readonly<Partial<Record<string, number>>> = { lingering: 0, idle: 1, receiving: 2, answering: 3 };

/**
 * Decides how much clients may take of the process. Answers the load of clients that open many connections, stop in the
 * middle of requests, send slowly, or do not read: those without progress give way to those with it.
 */
export class IngressGuard {
    private readonly ports = new Map<string, PortConnections>();
    private readonly rooms: BodyRoomQueue;
    private readonly didRefuse = Emitter.create<Refusal>();
    /** Fires for each client that is refused or whose connection is closed. */
    readonly onDidRefuse = this.didRefuse.event;

    private constructor(readonly limits: IngressLimits) {
        this.rooms = BodyRoomQueue.create(limits.bodyBytes);
    }

    /** @param limits What clients may take. @returns A guard without connections. */
    static create(limits: IngressLimits): IngressGuard {
        return new IngressGuard(limits);
    }

    /** @param port Name of a port. @returns Number of its open connections. */
    connectionCount(port: string): number {
        return this.ports.get(port)?.connections.size ?? 0;
    }

    /** Number of large bodies that wait for room. */
    get waitingBodyCount(): number {
        return this.rooms.waitingCount;
    }

    /**
     * Decides on a new connection.
     * @param port The port.
     * @param host Edge of the connection.
     * @param now Time in ms.
     * @returns The connection; `undefined` if it is refused.
     */
    admit(port: IngressPort, host: ConnectionHost, now: number): ClientConnection | undefined {
        const { connections } = this.connectionsOf(port);
        if (connections.size >= port.maxConnections) {
            this.recordRefusal(port.name, "connection-limit");
            return undefined;
        }
        const connection = ClientConnection.create(port.name, host, port.maxRequests, now);
        connections.add(connection);
        return connection;
    }

    /**
     * Asks for room for a large body. Without room, the connection is held until others have given theirs back.
     * @param connection The connection.
     * @param maxBodyBytes Largest size of a body.
     * @param now Time in ms.
     */
    requestRoom(connection: ClientConnection, maxBodyBytes: number, now: number): void {
        if (connection.bodyRoom === "none") {
            this.rooms.request(connection, maxBodyBytes, now);
            this.relieveRooms(now);
        }
    }

    /** Takes note that a body is complete or given up. */
    releaseRoom(connection: ClientConnection, now: number): void {
        this.rooms.release(connection, now);
    }

    /** Takes note that a client is refused for what it sends. */
    recordRefusal(port: string, reason: RefusalReason): void {
        this.didRefuse.fire({ port, reason });
    }

    /** Takes note that a connection is closed. */
    remove(connection: ClientConnection, now: number): void {
        this.ports.get(connection.port)?.connections.delete(connection);
        this.rooms.release(connection, now);
        connection.recordClosed(now);
    }

    /** Closes what has taken too long. @param now Time in ms. */
    tick(now: number): void {
        for (const own of this.ports.values()) {
            [...own.connections].forEach(each => this.closeOverdue(each, now));
            this.makeRoom(own, now);
        }
        this.relieveRooms(now);
        for (const connection of this.rooms.waiting) {
            if (connection.waitedMs(now) >= this.limits.waitMs) {
                this.rooms.release(connection, now);
                this.recordRefusal(connection.port, "no-room");
                connection.host.refuse("no-room");
            }
        }
    }

    private closeOverdue(connection: ClientConnection, now: number): void {
        const reason = this.overdueReason(connection, now);
        if (reason !== undefined) {
            this.close(connection, reason);
        }
    }

    private overdueReason(connection: ClientConnection, now: number): RefusalReason | undefined {
        const { idleMs, stallMs, minBytesPerS } = this.limits;
        if (connection.state === "idle") {
            return connection.phaseMs(now) >= idleMs ? "idle" : undefined;
        }
        if (connection.state === "lingering") {
            return connection.phaseMs(now) >= LINGER_MS ? "made-room" : undefined;
        }
        if (connection.lagMs(now, minBytesPerS) < stallMs) {
            return undefined;
        }
        return connection.state === "receiving" ? "slow-request" : "slow-answer";
    }

    /** Closes connections without progress on a crowded port, the cheapest first. */
    private makeRoom({ port, connections }: PortConnections, now: number): void {
        const excess = connections.size - Math.floor(port.maxConnections * CROWDED_RATIO);
        if (excess > 0) {
            [...connections]
                .filter(each => isStalled(each, now))
                .sort((a, b) => rankOf(a) - rankOf(b) || b.phaseMs(now) - a.phaseMs(now))
                .slice(0, excess)
                .forEach(each => this.close(each, "made-room"));
        }
    }

    /** Closes connections that have room for bodies and make no progress, for those that wait. */
    private relieveRooms(now: number): void {
        const { granted, waitingCount } = this.rooms;
        if (waitingCount > 0) {
            [...granted]
                .filter(each => isStalled(each, now))
                .sort((a, b) => b.phaseMs(now) - a.phaseMs(now))
                .slice(0, waitingCount)
                .forEach(each => this.close(each, "made-room"));
        }
    }

    private close(connection: ClientConnection, reason: RefusalReason): void {
        // A refusal was counted when it was decided.
        if (connection.state !== "lingering") {
            this.recordRefusal(connection.port, reason);
        }
        connection.host.close(reason);
    }

    private connectionsOf(port: IngressPort): PortConnections {
        const existing = this.ports.get(port.name);
        if (existing !== undefined) {
            return existing;
        }
        const created = { port, connections: new Set<ClientConnection>() };
        this.ports.set(port.name, created);
        return created;
    }
}

function isStalled(connection: ClientConnection, now: number): boolean {
    switch (connection.state) {
        case "idle":
        case "lingering":
            return connection.phaseMs(now) >= PRESSURE_STALL_MS;
        case "receiving":
        case "answering":
            return connection.lagMs(now, PRESSURE_BYTES_PER_S) >= PRESSURE_STALL_MS;
        default:
            return false;
    }
}

function rankOf(connection: ClientConnection): number {
    return CLOSING_RANKS[connection.state] ?? Number.POSITIVE_INFINITY;
}
