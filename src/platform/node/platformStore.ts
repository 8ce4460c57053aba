import { Err, Ok, Result } from "ts-results";
import { RecordOffset } from "../../records/common/record";
import {
    Append,
    AppendError,
    NewestPage,
    ReadError,
    RecordPage,
    RecordStore,
    StreamName,
} from "../../records/common/recordStore";
import { isNotSent } from "../../services/node/connectionPool";
import { HttpAnswer, HttpClient } from "../../services/node/httpClient";
import { packRecords, PAGE_HEADER_BYTES, unpackRecords } from "../common/recordFrames";

const TOPICS: Readonly<Record<StreamName, string>> = {
    jobs: "keyed.jobs",
    progress: "keyed.progress",
    operator: "keyed.op",
    workers: "keyed.servers",
};

/** Time within which a read must be answered, besides the time that it waits, in ms. */
const READ_TIMEOUT_MS = 1_500;

/**
 * Longest time within which a page of newest records must be answered, in ms: a page of 1 MB over a link of 1 Mbit/s. Each
 * failure doubles the time, for a page that was cut off is sent again from the start and fills a narrow link for nothing.
 */
const LONGEST_PAGE_MS = 12_000;

/** Bounds of the time within which an append must be answered, in ms. A repeat is stored once, so it may be early. */
const SHORTEST_APPEND_MS = 300;
const LONGEST_APPEND_MS = 2_000;

/** An append is repeated when it takes this many times as long as usual. */
const APPEND_TIMEOUT_FACTOR = 5;

/** Weight of the latest append in the usual time. */
const SMOOTHING = 0.2;

/** Told of calls to the store that failed. */
export type FailureListener = (call: string, failure: string) => void;

/** The platform's store as keyed streams. */
export class PlatformStore extends RecordStore {
    private usualAppendMs = SHORTEST_APPEND_MS / APPEND_TIMEOUT_FACTOR;

    /** Time within which the next page of a stream must be answered, in ms, where pages failed. */
    private readonly pageTimeoutsMs = new Map<StreamName, number>();

    /** Shortest time in ms that a call took, or `undefined` before the first answer. */
    roundTripMs: number | undefined;

    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
        private readonly onFailure: FailureListener,
    ) {
        super();
    }

    /** @param address Address of the store. @param onFailure Told of failures. @returns The store. */
    static create(address: string, client: HttpClient, onFailure: FailureListener): PlatformStore {
        return new PlatformStore(`http://${address}`, client, onFailure);
    }

    override async append(stream: StreamName, append: Append): Promise<Result<RecordOffset, AppendError>> {
        const { producer, sequence, records, onlyAt } = append;
        const query = new URLSearchParams({
            topic: TOPICS[stream],
            part: "0",
            producer: producer.name,
            epoch: String(producer.epoch),
            seq: String(sequence),
        });
        if (onlyAt !== undefined) {
            query.set("at", String(onlyAt));
        }
        const timeoutMs = Math.min(
            LONGEST_APPEND_MS,
            Math.max(SHORTEST_APPEND_MS, this.usualAppendMs * APPEND_TIMEOUT_FACTOR),
        );
        const startedAt = performance.now();
        try {
            const answer = await this.client.call({
                origin: this.origin,
                method: "POST",
                path: `/api/log-append?${query.toString()}`,
                headers: { "content-type": "application/octet-stream" },
                body: packRecords(records),
                timeoutMs: Math.round(timeoutMs),
            });
            this.noteAppend(performance.now() - startedAt);
            return this.appendResult(answer);
        } catch (error) {
            this.noteAppend(timeoutMs);
            this.onFailure("append", String(error));
            return Err(isNotSent(error) ? "not-done" : "unknown");
        }
    }

    override async read(
        stream: StreamName,
        from: RecordOffset,
        waitMs: number,
    ): Promise<Result<RecordPage, ReadError>> {
        const path = `/api/log-read?topic=${TOPICS[stream]}&part=0&from=${from}&waitMs=${waitMs}`;
        const answer = await this.get(path, waitMs + READ_TIMEOUT_MS);
        if (answer?.status === 410) {
            return Err("truncated");
        }
        if (answer?.status !== 200 || answer.body.length < PAGE_HEADER_BYTES) {
            return Err("unavailable");
        }
        const view = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength);
        const end = Number(view.readBigUInt64BE(0));
        return Ok({ records: unpackRecords(answer.body, from), end });
    }

    override async readNewest(stream: StreamName, after: string | undefined): Promise<Result<NewestPage, ReadError>> {
        const position = after === undefined ? "" : `&after=${encodeURIComponent(after)}`;
        const startedAt = performance.now();
        const timeoutMs = this.pageTimeoutsMs.get(stream) ?? READ_TIMEOUT_MS;
        const answer = await this.get(`/api/log-newest?topic=${TOPICS[stream]}&part=0${position}`, timeoutMs);
        this.pageTimeoutsMs.set(
            stream,
            answer === undefined ? Math.min(LONGEST_PAGE_MS, timeoutMs * 2) : READ_TIMEOUT_MS,
        );
        if (answer?.status === 404) {
            return Ok({ records: [], end: 0, hasMore: false });
        }
        if (answer?.status !== 200) {
            return Err("unavailable");
        }
        this.noteRoundTrip(performance.now() - startedAt);
        return parsePage(answer);
    }

    private async get(path: string, timeoutMs: number): Promise<HttpAnswer | undefined> {
        try {
            const answer = await this.client.call({ origin: this.origin, method: "GET", path, timeoutMs });
            if (answer.status >= 400 && answer.status !== 410) {
                this.onFailure("read", `status ${answer.status}`);
            }
            return answer;
        } catch (error) {
            this.onFailure("read", String(error));
            return undefined;
        }
    }

    private appendResult(answer: HttpAnswer): Result<RecordOffset, AppendError> {
        const body = new TextDecoder().decode(answer.body);
        switch (answer.status) {
            case 200:
                return Ok((JSON.parse(body) as { offset: number }).offset);
            case 409:
                return Err(body.includes("fenced") ? "fenced" : "out-of-sequence");
            case 412:
                return Err("conflict");
            default:
                this.onFailure("append", `status ${answer.status}`);
                return Err("not-done");
        }
    }

    private noteAppend(durationMs: number): void {
        this.usualAppendMs += SMOOTHING * (durationMs - this.usualAppendMs);
        this.noteRoundTrip(durationMs);
    }

    private noteRoundTrip(durationMs: number): void {
        this.roundTripMs = Math.min(this.roundTripMs ?? durationMs, durationMs);
    }
}

function parsePage(answer: HttpAnswer): Result<NewestPage, ReadError> {
    const page = JSON.parse(new TextDecoder().decode(answer.body)) as {
        items?: { key: string; value: string; offset: number }[];
        hasMore?: boolean;
        end?: number;
    };
    const records = (page.items ?? []).map(({ key, value, offset }) => ({
        key,
        value: Buffer.from(value, "base64").toString("utf8"),
        offset,
    }));
    return Ok({ records, end: page.end ?? 0, hasMore: page.hasMore ?? false });
}
