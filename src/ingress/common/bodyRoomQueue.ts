import { ClientConnection } from "./clientConnection";

/** Shares the memory for large bodies that are being received: each has room up to the largest size, or waits in turn. */
export class BodyRoomQueue {
    private readonly holders = new Set<ClientConnection>();
    private readonly queue = new Set<ClientConnection>();
    private maxBodyBytes = 1;

    private constructor(private readonly bytes: number) {}

    /** @param bytes Memory for all bodies. @returns A queue without bodies. */
    static create(bytes: number): BodyRoomQueue {
        return new BodyRoomQueue(bytes);
    }

    /** Connections with room. */
    get granted(): Iterable<ClientConnection> {
        return this.holders;
    }

    /** Connections that wait for room, the longest wait first. */
    get waiting(): readonly ClientConnection[] {
        return [...this.queue];
    }

    get waitingCount(): number {
        return this.queue.size;
    }

    /** Gives room to a connection, or lets it wait. @param maxBodyBytes Largest size of a body. @param now Time in ms. */
    request(connection: ClientConnection, maxBodyBytes: number, now: number): void {
        this.maxBodyBytes = maxBodyBytes;
        if (this.hasRoom) {
            this.holders.add(connection);
            connection.recordRoom("granted", now);
        } else {
            this.queue.add(connection);
            connection.recordRoom("waiting", now);
        }
    }

    /** Takes the room of a connection back and gives it to those that wait. @param now Time in ms. */
    release(connection: ClientConnection, now: number): void {
        if (connection.bodyRoom === "none") {
            return;
        }
        this.holders.delete(connection);
        this.queue.delete(connection);
        connection.recordRoom("none", now);
        for (const next of this.queue) {
            if (!this.hasRoom) {
                return;
            }
            this.queue.delete(next);
            this.holders.add(next);
            next.recordRoom("granted", now);
            next.host.resume();
        }
    }

    /** One body always has room, whatever the limits are. */
    private get hasRoom(): boolean {
        return this.holders.size < Math.max(1, Math.floor(this.bytes / this.maxBodyBytes));
    }
}
