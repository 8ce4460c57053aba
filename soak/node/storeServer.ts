import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { Random } from "../../src/proof/node/random";
import { StorePartition } from "./storePartition";

/** What the store does to its callers. */
export type StoreCondition = "refuses" | "resets" | "silent" | "slow" | "loses-answers" | "executes-late";

const MAX_PAGE_RECORDS = 1_024;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_NEWEST_RECORDS = 500;

/** Longest time for which a read waits for a record, in ms. */
const MAX_WAIT_MS = 30_000;

/** Time that an append takes, and the bounds of it while the store is slow or executes calls late, in ms. */
const APPEND_MS = 3;
const SLOW_MS = [200, 1_500] as const;
const LATE_MS = [500, 4_000] as const;

/** Topics that only the operator and the workers write to. */
const READ_ONLY_TOPICS: readonly string[] = ["keyed.op", "keyed.servers"];

/** Stand-in of the platform's store over HTTP. */
export class StoreServer {
    private readonly partitions = new Map<string, StorePartition>();
    private readonly conditions = new Map<StoreCondition, number>();
    /** Connections on which an answer was lost; they return nothing further. */
    private readonly mutedSockets = new WeakSet<object>();

    private constructor(
        private readonly server: Server,
        private readonly random: Random,
    ) {}

    /** @param host Loopback address. @param random Decides durations. @returns The store, listening on a free port. */
    static async start(host: string, random: Random): Promise<StoreServer> {
        const server = createServer({ keepAliveTimeout: 60_000 });
        const store = new StoreServer(server, random);
        server.on("request", (request, response) => store.receive(request, response));
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        return store;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    begin(condition: StoreCondition): void {
        this.conditions.set(condition, (this.conditions.get(condition) ?? 0) + 1);
        if (condition === "resets") {
            this.server.closeAllConnections();
        }
    }

    end(condition: StoreCondition): void {
        this.conditions.set(condition, (this.conditions.get(condition) ?? 0) - 1);
    }

    /** Whether workers and operators can write. */
    get isUp(): boolean {
        return !this.has("refuses") && !this.has("resets") && !this.has("silent");
    }

    /** Writes what the operator or a worker writes. @param value Value; `undefined` removes the key. */
    put(topic: string, key: string, value: object | undefined): void {
        const keyBytes = Buffer.from(key);
        const valueBytes = Buffer.from(value === undefined ? "" : JSON.stringify(value));
        this.partition(topic, "0").add([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])]);
    }

    dispose(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    private has(condition: StoreCondition): boolean {
        return (this.conditions.get(condition) ?? 0) > 0;
    }

    private partition(topic: string, part: string): StorePartition {
        const key = `${topic}/${part}`;
        const partition = this.partitions.get(key) ?? StorePartition.create(topic.startsWith("keyed."));
        this.partitions.set(key, partition);
        return partition;
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("error", () => response.destroy());
        request.on("end", () => {
            const url = new URL(request.url ?? "/", "http://store");
            const serve = () => this.serve(`${request.method} ${url.pathname}`, url, Buffer.concat(chunks), response);
            const isLate = this.has("executes-late") && request.method === "POST" && this.random.chance(0.5);
            if (this.has("resets")) {
                request.socket.resetAndDestroy();
            } else if (this.has("silent")) {
                this.mutedSockets.add(request.socket);
            } else if (this.has("refuses")) {
                this.reply(response, 503, {});
            } else if (isLate) {
                this.mutedSockets.add(request.socket);
                setTimeout(serve, this.random.between(...LATE_MS));
            } else {
                setTimeout(serve, this.has("slow") ? this.random.between(...SLOW_MS) : APPEND_MS);
            }
        });
    }

    private serve(call: string, url: URL, body: Buffer, response: ServerResponse): void {
        const query = url.searchParams;
        const topic = query.get("topic") ?? "";
        const partition = this.partition(topic, query.get("part") ?? "0");
        if (call === "POST /api/log-append") {
            this.serveAppend(topic, partition, query, body, response);
        } else if (call === "GET /api/log-read") {
            this.serveRead(partition, query, response);
        } else if (call === "GET /api/log-newest") {
            this.serveNewest(partition, query, response);
        } else {
            this.reply(response, 404, {});
        }
    }

    private serveAppend(
        topic: string,
        partition: StorePartition,
        query: URLSearchParams,
        body: Buffer,
        response: ServerResponse,
    ): void {
        if (READ_ONLY_TOPICS.includes(topic)) {
            this.reply(response, 403, {});
            return;
        }
        const records: Buffer[] = [];
        for (let position = 0; position + 4 <= body.length;) {
            const end = position + 4 + body.readUInt32BE(position);
            records.push(body.subarray(position + 4, end));
            position = end;
        }
        const at = query.get("at") ?? undefined;
        const [status, answer] = partition.append(records, {
            producer: query.get("producer") ?? undefined,
            epoch: Number(query.get("epoch") ?? 0),
            seq: Number(query.get("seq") ?? 0),
            at: at === undefined ? undefined : Number(at),
        });
        if (this.has("loses-answers") && this.random.chance(0.5)) {
            this.mutedSockets.add(response.req.socket);
        }
        this.reply(response, status, answer);
    }

    private serveRead(partition: StorePartition, query: URLSearchParams, response: ServerResponse): void {
        const from = Number(query.get("from"));
        const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("waitMs") ?? 0));
        if (from >= partition.records.length && waitMs > 0) {
            partition.waitForAppend(waitMs, () => this.replyPage(partition, from, response));
        } else {
            this.replyPage(partition, from, response);
        }
    }

    private replyPage(partition: StorePartition, from: number, response: ServerResponse): void {
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(partition.records.length), 0);
        const parts: Buffer[] = [header];
        let bytes = 0;
        for (const record of partition.records.slice(from, from + MAX_PAGE_RECORDS)) {
            bytes += record.length;
            if (parts.length > 1 && bytes > MAX_PAGE_BYTES) {
                break;
            }
            const length = Buffer.alloc(4);
            length.writeUInt32BE(record.length);
            parts.push(length, record);
        }
        this.send(response, 200, "application/octet-stream", Buffer.concat(parts));
    }

    private serveNewest(partition: StorePartition, query: URLSearchParams, response: ServerResponse): void {
        const after = query.get("after") ?? "";
        const keys = [...partition.newest.keys()].sort().filter(key => key > after);
        const items: object[] = [];
        let bytes = 0;
        for (const key of keys.slice(0, MAX_NEWEST_RECORDS)) {
            const { value, offset } = partition.newest.get(key)!;
            bytes += value.length;
            if (items.length > 0 && bytes > MAX_PAGE_BYTES) {
                break;
            }
            items.push({ key, value: value.toString("base64"), offset });
        }
        this.reply(response, 200, { items, hasMore: items.length < keys.length, end: partition.records.length });
    }

    private reply(response: ServerResponse, status: number, body: object): void {
        this.send(response, status, "application/json", Buffer.from(JSON.stringify(body)));
    }

    private send(response: ServerResponse, status: number, type: string, body: Buffer): void {
        const socket = response.socket ?? undefined;
        if (response.destroyed || socket === undefined || this.mutedSockets.has(socket)) {
            return;
        }
        if (this.has("silent")) {
            this.mutedSockets.add(socket);
            return;
        }
        response.writeHead(status, { "content-type": type, "content-length": body.length });
        response.end(body);
    }
}
