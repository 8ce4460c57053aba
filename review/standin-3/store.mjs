// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): a log with keyed topics.
import { createServer } from "node:http";

const APPEND_MS = 3;
const PAGE_RECORDS = 1024;
const PAGE_BYTES = 1_000_000;
const NEWEST_RECORDS = 500;
const OPERATOR_TOPICS = ["keyed.op", "keyed.servers"];

export class Store {
    constructor(host) {
        this.host = host;
        this.parts = new Map();
        this.muted = new WeakSet();
        /** While true, calls of the system get no answer and have no effect. */
        this.isSilent = false;
        this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => this.receive(request, response));
    }

    async start() {
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes what the operator or a worker writes; `undefined` removes the key. */
    put(topic, key, value) {
        const name = Buffer.from(key);
        const text = Buffer.from(value === undefined ? "" : JSON.stringify(value));
        this.add(this.part(topic, "0"), [Buffer.concat([Buffer.from([name.length]), name, text])]);
    }

    part(topic, number) {
        const name = `${topic}/${number}`;
        if (!this.parts.has(name)) {
            const isKeyed = topic.startsWith("keyed.");
            this.parts.set(name, { isKeyed, records: [], newest: new Map(), producers: new Map(), waiting: new Set(), free: 0 });
        }
        return this.parts.get(name);
    }

    add(part, records) {
        const offset = part.records.length;
        for (const record of records) {
            if (part.isKeyed) {
                const length = record[0];
                const key = record.subarray(1, 1 + length).toString("utf8");
                const value = record.subarray(1 + length);
                if (value.length === 0) {
                    part.newest.delete(key);
                } else {
                    part.newest.set(key, { value, offset: part.records.length });
                }
            }
            part.records.push(record);
        }
        [...part.waiting].forEach(wake => wake());
        return offset;
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => response.destroy());
        request.on("end", () => {
            if (this.isSilent) {
                this.muted.add(request.socket);
                return;
            }
            const url = new URL(request.url, "http://store");
            const query = url.searchParams;
            const topic = query.get("topic") ?? "";
            const part = this.part(topic, query.get("part") ?? "0");
            const call = `${request.method} ${url.pathname}`;
            if (call === "POST /api/log-append") {
                this.append(topic, part, query, Buffer.concat(chunks), response);
            } else if (call === "GET /api/log-read") {
                this.read(part, query, response);
            } else if (call === "GET /api/log-newest") {
                this.readNewest(part, query, response);
            } else {
                this.reply(response, 404, {});
            }
        });
    }

    append(topic, part, query, body, response) {
        if (OPERATOR_TOPICS.includes(topic)) {
            this.reply(response, 403, {});
            return;
        }
        const records = [];
        for (let at = 0; at + 4 <= body.length; ) {
            const end = at + 4 + body.readUInt32BE(at);
            records.push(body.subarray(at + 4, end));
            at = end;
        }
        const now = performance.now();
        part.free = Math.max(now, part.free) + APPEND_MS;
        setTimeout(() => {
            const [status, answer] = this.appendNow(part, records, query);
            this.reply(response, status, answer);
        }, part.free - now);
    }

    appendNow(part, records, query) {
        const at = query.get("at");
        if (at !== null && Number(at) !== part.records.length) {
            return [412, { end: part.records.length }];
        }
        const name = query.get("producer");
        if (name === null) {
            const offset = this.add(part, records);
            return [200, { offset, end: part.records.length }];
        }
        const epoch = Number(query.get("epoch") ?? 0);
        const seq = Number(query.get("seq") ?? 0);
        let producer = part.producers.get(name);
        if (producer !== undefined && epoch < producer.epoch) {
            return [409, { reason: "fenced" }];
        }
        if (producer === undefined || epoch > producer.epoch) {
            producer = { epoch, seq: undefined, latest: [] };
            part.producers.set(name, producer);
        }
        const repeated = producer.latest.find(each => each.seq === seq);
        if (repeated !== undefined) {
            return [200, repeated.answer];
        }
        if (records.length === 0) {
            return [200, { offset: part.records.length, end: part.records.length }];
        }
        if (producer.seq !== undefined && seq !== producer.seq + 1) {
            return [409, { reason: "seq", seq: producer.seq + 1 }];
        }
        producer.seq = seq;
        const offset = this.add(part, records);
        const answer = { offset, end: part.records.length };
        producer.latest = [...producer.latest, { seq, answer }].slice(-5);
        return [200, answer];
    }

    read(part, query, response) {
        const from = Number(query.get("from"));
        const waitMs = Math.min(30_000, Number(query.get("waitMs") ?? 0));
        const most = Math.min(PAGE_RECORDS, Number(query.get("maxSize") ?? PAGE_RECORDS));
        if (from < part.records.length || waitMs === 0) {
            this.replyPage(part, from, most, response);
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            part.waiting.delete(finish);
            this.replyPage(part, from, most, response);
        };
        const timer = setTimeout(finish, waitMs);
        part.waiting.add(finish);
    }

    replyPage(part, from, most, response) {
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(part.records.length), 0);
        const pieces = [header];
        let bytes = 0;
        for (const record of part.records.slice(from, from + most)) {
            bytes += record.length;
            if (pieces.length > 1 && bytes > PAGE_BYTES) {
                break;
            }
            const length = Buffer.alloc(4);
            length.writeUInt32BE(record.length);
            pieces.push(length, record);
        }
        this.send(response, 200, "application/octet-stream", Buffer.concat(pieces));
    }

    readNewest(part, query, response) {
        const after = query.get("after") ?? "";
        const keys = [...part.newest.keys()].sort().filter(key => key > after);
        const items = [];
        let bytes = 0;
        for (const key of keys.slice(0, NEWEST_RECORDS)) {
            const { value, offset } = part.newest.get(key);
            bytes += value.length;
            if (items.length > 0 && bytes > PAGE_BYTES) {
                break;
            }
            items.push({ key, value: value.toString("base64"), offset });
        }
        this.reply(response, 200, { items, hasMore: items.length < keys.length, end: part.records.length });
    }

    reply(response, status, body) {
        this.send(response, status, "application/json", Buffer.from(JSON.stringify(body)));
    }

    send(response, status, type, body) {
        if (response.destroyed || !response.socket || this.muted.has(response.socket)) {
            return;
        }
        if (this.isSilent) {
            this.muted.add(response.socket);
            return;
        }
        response.writeHead(status, { "content-type": type, "content-length": body.length });
        response.end(body);
    }
}
