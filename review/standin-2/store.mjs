// The platform's metadata store as the protocol page describes it: a log with keyed topics, on one partition.
import { createServer } from "node:http";

const APPEND_MS = 3;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const REMEMBERED_APPENDS = 5;

export class Store {
    topics = new Map();
    server = createServer((request, response) => this.receive(request, response));

    async listen(port, host = "127.0.0.1") {
        await new Promise((resolve, reject) => this.server.once("error", reject).listen(port, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    topic(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { name, records: [], newest: new Map(), producers: new Map(), waiting: new Set(), tail: Promise.resolve() };
            this.topics.set(name, topic);
        }
        return topic;
    }

    /** Writes a record of the operator or of a worker. */
    put(topicName, key, value) {
        const keyBytes = Buffer.from(key);
        const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value ?? "")]);
        this.add(this.topic(topicName), [content]);
    }

    /** @returns Newest value of a key of a topic, if there is one. */
    newest(topicName, key) {
        return this.topic(topicName).newest.get(key)?.value.toString("utf8");
    }

    add(topic, contents) {
        const offset = topic.records.length;
        for (const content of contents) {
            if (topic.name.startsWith("keyed.")) {
                const key = content.toString("utf8", 1, 1 + content[0]);
                const value = content.subarray(1 + content[0]);
                if (value.length === 0) {
                    topic.newest.delete(key);
                } else {
                    topic.newest.set(key, { value, offset: topic.records.length });
                }
            }
            topic.records.push(content);
        }
        for (const wake of [...topic.waiting]) {
            wake();
        }
        return offset;
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => {});
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            const topic = this.topic(url.searchParams.get("topic") ?? "");
            switch (`${request.method} ${url.pathname}`) {
                case "POST /api/log-append":
                    // A partition carries out one append at a time.
                    topic.tail = topic.tail.then(async () => {
                        await new Promise(resolve => setTimeout(resolve, APPEND_MS));
                        const [status, body] = this.append(topic, url.searchParams, Buffer.concat(chunks));
                        sendJson(response, status, body);
                    });
                    break;
                case "GET /api/log-read":
                    this.read(topic, url.searchParams, response);
                    break;
                case "GET /api/log-newest":
                    this.readNewest(topic, url.searchParams.get("after") ?? "", response);
                    break;
                default:
                    sendJson(response, 404, {});
            }
        });
    }

    append(topic, query, body) {
        const contents = [];
        for (let at = 0; at + 4 <= body.length; ) {
            const end = at + 4 + body.readUInt32BE(at);
            contents.push(body.subarray(at + 4, end));
            at = end;
        }
        const name = query.get("producer");
        const epoch = Number(query.get("epoch") ?? 0);
        const seq = Number(query.get("seq") ?? 0);
        const producer = topic.producers.get(name);
        const isKnown = name !== null && producer !== undefined && epoch <= producer.epoch;
        if (isKnown && epoch < producer.epoch) {
            return [409, { reason: "fenced" }];
        }
        if (isKnown && contents.length > 0) {
            const repeated = producer.latest.find(each => each.seq === seq);
            if (repeated !== undefined) {
                return [200, repeated.answer];
            }
            if (producer.seq !== undefined && seq !== producer.seq + 1) {
                return [409, { reason: "seq", seq: producer.seq + 1 }];
            }
        }
        if (query.has("at") && Number(query.get("at")) !== topic.records.length) {
            return [412, { end: topic.records.length }];
        }
        if (name !== null && !isKnown) {
            topic.producers.set(name, { epoch, seq: undefined, latest: [] });
        }
        const offset = this.add(topic, contents);
        const answer = { offset, end: topic.records.length };
        if (name !== null && contents.length > 0) {
            const state = topic.producers.get(name);
            state.seq = seq;
            state.latest = [...state.latest, { seq, answer }].slice(-REMEMBERED_APPENDS);
        }
        return [200, answer];
    }

    read(topic, query, response) {
        const from = Number(query.get("from") ?? 0);
        const answer = () => {
            topic.waiting.delete(answer);
            clearTimeout(timer);
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(topic.records.length), 0);
            const parts = [head];
            let bytes = 0;
            for (let at = from; at < topic.records.length && bytes < PAGE_BYTES; at++) {
                const length = Buffer.alloc(4);
                length.writeUInt32BE(topic.records[at].length);
                parts.push(length, topic.records[at]);
                bytes += topic.records[at].length;
            }
            response.writeHead(200, { "content-type": "application/octet-stream" });
            response.end(Buffer.concat(parts));
        };
        const timer = setTimeout(answer, from < topic.records.length ? 0 : Number(query.get("waitMs") ?? 0));
        topic.waiting.add(answer);
    }

    readNewest(topic, after, response) {
        const keys = [...topic.newest.keys()].filter(key => Buffer.compare(Buffer.from(key), Buffer.from(after)) > 0);
        keys.sort((a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b)));
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            if (items.length >= PAGE_ITEMS || bytes >= PAGE_BYTES) {
                break;
            }
            const { value, offset } = topic.newest.get(key);
            items.push({ key, value: value.toString("base64"), offset });
            bytes += value.length;
        }
        sendJson(response, 200, { items, hasMore: items.length < keys.length, end: topic.records.length });
    }
}

function sendJson(response, status, body) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
