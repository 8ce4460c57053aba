// Stand-in of the platform's store: a log with partitions, as the protocol page describes it. It loses nothing.
import { createServer } from "node:http";

const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
const APPEND_MS = 3;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_PAGE_RECORDS = 1_024;
const MAX_NEWEST = 500;
const REMEMBERED_APPENDS = 5;

class Partition {
    constructor(isKeyed) {
        this.isKeyed = isKeyed;
        this.records = [];
        this.newest = new Map();
        this.producers = new Map();
        this.waiters = new Set();
        this.queue = Promise.resolve();
    }

    get end() {
        return this.records.length;
    }

    add(contents) {
        const offset = this.end;
        for (const content of contents) {
            const position = this.records.push(content) - 1;
            if (this.isKeyed) {
                const keyEnd = 1 + content[0];
                const key = content.toString("utf8", 1, keyEnd);
                if (content.length > keyEnd) {
                    this.newest.set(key, { value: content.subarray(keyEnd), offset: position });
                } else {
                    this.newest.delete(key);
                }
            }
        }
        this.waiters.forEach(wake => wake());
        return offset;
    }

    /** @returns Status and body of the answer to an append. */
    append(contents, { producer, epoch, seq, at }) {
        const known = producer === undefined ? undefined : this.producers.get(producer);
        if (known !== undefined && epoch < known.epoch) {
            return [409, { reason: "fenced" }];
        }
        if (known !== undefined && epoch === known.epoch) {
            const repeat = known.appends.find(each => each.seq === seq);
            if (repeat !== undefined) {
                return [200, repeat.answer];
            }
            const expected = known.last + 1;
            if (seq !== expected) {
                return [409, { reason: "seq", expected }];
            }
        }
        if (at !== undefined && at !== this.end) {
            return [412, { end: this.end }];
        }
        const offset = this.add(contents);
        const answer = { offset, end: this.end };
        if (producer !== undefined) {
            const isSame = known?.epoch === epoch;
            const appends = isSame ? known.appends : [];
            appends.push({ seq, answer });
            this.producers.set(producer, { epoch, last: seq, appends: appends.slice(-REMEMBERED_APPENDS) });
        }
        return [200, answer];
    }
}

export class Store {
    constructor(record) {
        this.record = record;
        this.topics = new Map();
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async listen() {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    partition(topic, part) {
        const key = `${topic}/${part}`;
        let partition = this.topics.get(key);
        if (partition === undefined) {
            partition = new Partition(topic.startsWith("keyed."));
            this.topics.set(key, partition);
        }
        return partition;
    }

    /** Writes what the operator or a worker writes. */
    put(topic, key, value) {
        const keyBytes = Buffer.from(key);
        const valueBytes = Buffer.from(value === undefined ? "" : JSON.stringify(value));
        this.partition(topic, 0).add([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])]);
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => void this.handle(request, Buffer.concat(chunks), response));
        request.on("error", () => response.destroy());
    }

    async handle(request, body, response) {
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const partition = this.partition(query.get("topic") ?? "", Number(query.get("part") ?? 0));
        switch (`${request.method} ${url.pathname}`) {
            case "POST /api/log-append":
                await this.serveAppend(partition, query, body, response);
                break;
            case "GET /api/log-read":
                await this.serveRead(partition, query, response);
                break;
            case "GET /api/log-newest":
                this.serveNewest(partition, query, response);
                break;
            default:
                send(response, 404, {});
        }
    }

    async serveAppend(partition, query, body, response) {
        const contents = [];
        for (let position = 0; position + 4 <= body.length; ) {
            const end = position + 4 + body.readUInt32BE(position);
            contents.push(body.subarray(position + 4, end));
            position = end;
        }
        const longest = Math.max(0, ...contents.map(each => each.length));
        const total = contents.reduce((sum, each) => sum + each.length, 0);
        if (longest > RECORD_BYTES || total > CALL_BYTES) {
            this.record("store rejects append", { topic: query.get("topic"), longest, total, limit: RECORD_BYTES });
            send(response, 400, { reason: "size" });
            return;
        }
        const number = name => (query.has(name) ? Number(query.get(name)) : undefined);
        const options = {
            producer: query.get("producer") ?? undefined,
            epoch: number("epoch") ?? 0,
            seq: number("seq") ?? 0,
            at: number("at"),
        };
        // A partition processes its appends one at a time.
        partition.queue = partition.queue.then(() => delay(APPEND_MS));
        await partition.queue;
        send(response, ...partition.append(contents, options));
    }

    async serveRead(partition, query, response) {
        const from = Number(query.get("from"));
        const waitMs = Math.min(30_000, Number(query.get("waitMs") ?? 0));
        if (from >= partition.end && waitMs > 0) {
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timer);
                    partition.waiters.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, waitMs);
                partition.waiters.add(done);
                response.on("close", done);
            });
        }
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(partition.end), 0);
        const parts = [header];
        let bytes = 0;
        for (const content of partition.records.slice(from, from + MAX_PAGE_RECORDS)) {
            bytes += content.length;
            if (parts.length > 1 && bytes > MAX_PAGE_BYTES) {
                break;
            }
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            parts.push(length, content);
        }
        const page = Buffer.concat(parts);
        response.writeHead(200, { "content-type": "application/octet-stream", "content-length": page.length });
        response.end(page);
    }

    serveNewest(partition, query, response) {
        const after = query.get("after");
        const keys = [...partition.newest.keys()].sort().filter(key => after === null || key > after);
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            const { value, offset } = partition.newest.get(key);
            bytes += value.length;
            if (items.length === MAX_NEWEST || (items.length > 0 && bytes > MAX_PAGE_BYTES)) {
                break;
            }
            items.push({ key, value: value.toString("base64"), offset });
        }
        send(response, 200, { items, hasMore: items.length < keys.length, end: partition.end });
    }
}

export function delay(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export function send(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
