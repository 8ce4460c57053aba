import { Err, Ok, Result } from "ts-results";
import { TrafficMeter } from "../../base/common/trafficMeter";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { RecordOffset } from "../../records/common/record";
import { StoreLatency } from "../../records/common/storeLatency";
import {
    Append,
    AppendError,
    KEY_AFTER_ALL,
    NewestPage,
    PageTransfer,
    ReadError,
    RecordPage,
    RecordStore,
    StreamName,
} from "../../records/common/recordStore";
import { isNotSent } from "../../services/node/connectionPool";
import { HttpResponse, HttpClient } from "../../services/node/httpClient";
import { CallObservation } from "../../services/node/pendingCall";
import { decodeAppendAnswer, decodeNewestPage } from "../common/answerDecoder";
import { FailureListener } from "../common/failureListener";
import { packRecords, PAGE_HEADER_BYTES, unpackRecords } from "../common/recordFrames";
import { PageProbe } from "./pageProbe";

/** Prefix of the topics of which the store keeps the newest record of each key. */
const KEYED_PREFIX = "keyed.";

/** Topics that the platform names; the system's own are called like its streams. */
const PLATFORM_TOPICS: Readonly<Partial<Record<StreamName, string>>> = { operator: "op", workers: "servers" };

/** Timeout of a read, in addition to the time that it waits for records. */
const READ_TIMEOUT_MS = 1_500;

/**
 * Time without data after which a response that has begun is given up, in ms. A response that only arrives slowly is
 * awaited: if many instances load the streams at the same time, aborted pages would be sent again and fill the links.
 */
const IDLE_TIMEOUT_MS = 2_000;

/**
 * Time within which the response to a page of newest records must begin, in ms, if the store answers nothing else: 1 MB over a link
 * of 1 Mbit/s that other pages use before.
 */
const MAX_PAGE_TIMEOUT_MS = 12_000;

/**
 * Timeout of a check of the end of a stream, in ms: four intervals at which a check is repeated, so that at most four are in flight. A
 * later answer would be too old to decide on.
 */
const END_TIMEOUT_MS = 2_400;

/** Bounds of the timeout of an append. It may be short, because a retried append is stored once. */
const MIN_APPEND_TIMEOUT_MS = 300;
const MAX_APPEND_TIMEOUT_MS = 2_000;

/** Timeout of an append, as a multiple of the average duration. */
const APPEND_TIMEOUT_RATIO = 5;

/**
 * Timeout of an append, as a multiple of how much longer than usual the store takes to answer: appends to one stream are carried out
 * one after the other, and one that is sent again while it waits makes all others wait longer.
 */
const SLOW_STORE_RATIO = 6;

/** Weight of the latest append in the average duration. */
const SMOOTHING_RATIO = 0.2;

/** A complete response to a read. */
interface ReadResponse extends HttpResponse {
    readonly transfer: PageTransfer;
}

/** Keyed streams in the platform's store. */
export class PlatformStore extends RecordStore {
    private averageAppendMs = MIN_APPEND_TIMEOUT_MS / APPEND_TIMEOUT_RATIO;

    /**
     * Time in ms after which the store is probed while the next page of a stream is awaited. It doubles with each page that is given
     * up, since a page is sent again from its start and wastes the bandwidth of a slow link.
     */
    private readonly probeDelaysMs = new Map<StreamName, number>();

    /** How long the store takes to answer. */
    readonly latency = StoreLatency.create();

    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
        private readonly onFailure: FailureListener,
        private readonly traffic: TrafficMeter<RequestKind>,
    ) {
        super();
    }

    /**
     * @param address Address of the store.
     * @param client HTTP client for the store.
     * @param onFailure Called when a call failed.
     * @param traffic Counts the calls that are sent.
     * @returns The store.
     */
    static create(
        address: string,
        client: HttpClient,
        onFailure: FailureListener,
        traffic = TrafficMeter.create<RequestKind>(),
    ): PlatformStore {
        return new PlatformStore(`http://${address}`, client, onFailure, traffic);
    }

    override async append(stream: StreamName, append: Append): Promise<Result<RecordOffset, AppendError>> {
        const { producer, sequence, records, expectedEnd } = append;
        const query = new URLSearchParams({
            topic: topicOf(stream),
            part: "0",
            producer: producer.name,
            epoch: String(producer.epoch),
            seq: String(sequence),
        });
        if (expectedEnd !== undefined) {
            query.set("at", String(expectedEnd));
        }
        const startedAt = performance.now();
        const timeoutMs = this.appendTimeoutMs(startedAt);
        const body = packRecords(records);
        this.traffic.record("append", body.length);
        try {
            const answer = await this.client.call({
                origin: this.origin,
                method: "POST",
                path: `/api/log-append?${query.toString()}`,
                headers: { "content-type": "application/octet-stream" },
                body,
                timeoutMs: Math.round(timeoutMs),
            });
            const answeredAt = performance.now();
            this.recordAppendDuration(answeredAt - startedAt);
            this.latency.record(answeredAt - startedAt, answeredAt);
            return this.appendResult(stream, answer);
        } catch (error) {
            this.recordAppendDuration(timeoutMs);
            this.onFailure(`append ${stream}`, String(error));
            return Err(isNotSent(error) ? "not-done" : "unknown");
        }
    }

    override async read(
        stream: StreamName,
        from: RecordOffset,
        waitMs: number,
    ): Promise<Result<RecordPage, ReadError>> {
        const path = `/api/log-read?topic=${topicOf(stream)}&part=0&from=${from}&waitMs=${waitMs}`;
        const startedAt = performance.now();
        const answer = await this.get(`read ${stream}`, path, { timeoutMs: waitMs + READ_TIMEOUT_MS });
        if (answer?.status === 410) {
            return Err("truncated");
        }
        if (answer?.status !== 200 || answer.body.length < PAGE_HEADER_BYTES) {
            return Err("unavailable");
        }
        if (answer.body.length === PAGE_HEADER_BYTES) {
            // Without records, the store has held the read for the whole wait.
            const answeredAt = performance.now();
            this.latency.record(Math.max(0, answeredAt - startedAt - waitMs), answeredAt);
        }
        const view = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength);
        const end = Number(view.readBigUInt64BE(0));
        return Ok({ records: unpackRecords(answer.body, from), end, transfer: answer.transfer });
    }

    override async readNewest(stream: StreamName, after: string | undefined): Promise<Result<NewestPage, ReadError>> {
        const startedAt = performance.now();
        const answer =
            after === KEY_AFTER_ALL
                ? await this.getEnd("end", stream)
                : await this.getPage(stream, newestPath(stream, after));
        if (answer?.status === 404) {
            return Ok({ records: [], end: 0, hasMore: false });
        }
        if (answer?.status !== 200) {
            return Err("unavailable");
        }
        if (after === KEY_AFTER_ALL) {
            const answeredAt = performance.now();
            this.latency.record(answeredAt - startedAt, answeredAt);
        }
        const page = decodeNewestPage(answer.body);
        if (page === undefined) {
            this.onFailure(`newest ${stream}`, "malformed page");
            return Err("unavailable");
        }
        return Ok({ ...page, transfer: answer.transfer });
    }

    /** Gets a page, or gives it up as soon as the store answers something else and nothing of the page has arrived. */
    private async getPage(stream: StreamName, path: string): Promise<ReadResponse | undefined> {
        const probeDelayMs = this.probeDelaysMs.get(stream) ?? READ_TIMEOUT_MS;
        const lost = new AbortController();
        const probe = PageProbe.create(
            probeDelayMs,
            async () => (await this.getEnd("probe", stream))?.status === 200,
            () => lost.abort(new Error("the store answers, but not this call")),
        );
        const answer = await this.get(`newest ${stream}`, path, {
            timeoutMs: MAX_PAGE_TIMEOUT_MS,
            signal: lost.signal,
            onBegin: () => probe.dispose(),
        });
        probe.dispose();
        const nextDelayMs = lost.signal.aborted ? Math.min(MAX_PAGE_TIMEOUT_MS, probeDelayMs * 2) : READ_TIMEOUT_MS;
        this.probeDelaysMs.set(stream, nextDelayMs);
        return answer;
    }

    /** @param name Name of the call in the log, beside the stream. */
    private getEnd(name: string, stream: StreamName): Promise<ReadResponse | undefined> {
        return this.get(`${name} ${stream}`, newestPath(stream, KEY_AFTER_ALL), { timeoutMs: END_TIMEOUT_MS });
    }

    /** @param name Name of the call in the log. */
    private async get(name: string, path: string, observation: CallObservation): Promise<ReadResponse | undefined> {
        this.traffic.record("read", 0);
        let begunAt = performance.now();
        const onBegin = () => {
            begunAt = performance.now();
            observation.onBegin?.();
        };
        try {
            const call = { origin: this.origin, method: "GET" as const, path, ...observation, onBegin };
            const answer = await this.client.call({ ...call, idleTimeoutMs: IDLE_TIMEOUT_MS });
            if (answer.status >= 400 && answer.status !== 410) {
                this.onFailure(name, `status ${answer.status}`);
            }
            const durationMs = performance.now() - begunAt;
            return { ...answer, transfer: { bytes: answer.body.length, durationMs } };
        } catch (error) {
            this.onFailure(name, String(error));
            return undefined;
        }
    }

    private appendResult(stream: StreamName, answer: HttpResponse): Result<RecordOffset, AppendError> {
        switch (answer.status) {
            case 200: {
                const offset = decodeAppendAnswer(answer.body);
                if (offset === undefined) {
                    this.onFailure(`append ${stream}`, "malformed answer");
                }
                return offset === undefined ? Err("unknown") : Ok(offset);
            }
            case 409:
                return Err(new TextDecoder().decode(answer.body).includes("fenced") ? "fenced" : "out-of-sequence");
            case 412:
                return Err("conflict");
            default:
                this.onFailure(`append ${stream}`, `status ${answer.status}`);
                return Err("not-done");
        }
    }

    private recordAppendDuration(durationMs: number): void {
        this.averageAppendMs += SMOOTHING_RATIO * (durationMs - this.averageAppendMs);
    }

    private appendTimeoutMs(now: number): number {
        const slowMs = this.latency.excessMs(now) * SLOW_STORE_RATIO;
        const timeoutMs = Math.max(MIN_APPEND_TIMEOUT_MS, this.averageAppendMs * APPEND_TIMEOUT_RATIO, slowMs);
        return Math.min(MAX_APPEND_TIMEOUT_MS, timeoutMs);
    }
}

function topicOf(stream: StreamName): string {
    return KEYED_PREFIX + (PLATFORM_TOPICS[stream] ?? stream);
}

/** @param after Key after which the page begins. @returns Path of a page of the newest records of a stream. */
function newestPath(stream: StreamName, after: string | undefined): string {
    const afterQuery = after === undefined ? "" : `&after=${encodeURIComponent(after)}`;
    return `/api/log-newest?topic=${topicOf(stream)}&part=0${afterQuery}`;
}
