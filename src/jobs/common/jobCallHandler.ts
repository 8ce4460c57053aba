import { isTooLarge, MAX_RECORD_BYTES, recordBytes } from "../../records/common/recordSize";
import { RecordWriter } from "../../records/common/recordWriter";
import { ConfigurationView } from "./configurationView";
import { JobAnswer, JobCall, JobDraft } from "./jobCall";
import { JobAdmission } from "./jobAdmission";
import { estimateJobBytes } from "./jobMemory";
import { encodeSpec, jobKey } from "./jobRecord";
import { isFinal, JobTable, visibleStateOf } from "./jobTable";
import { Queue, QueueTable } from "./queueTable";

const JOB_ID = /^[0-9a-f]{16}$/i;

/** A call is answered at the latest this long before its caller times out. */
const CALLER_TIMEOUT_MARGIN_MS = 150;

/** Timeout assumed for a caller that states none. */
const DEFAULT_CALLER_TIMEOUT_MS = 3_000;

/** Time since `knownUntil` after which the stream is stale. Callers accept counts of queued jobs up to 2 s old. */
const MAX_STREAM_AGE_MS = 2_000;

/** Time since the first failed append after which submissions are rejected at once. */
const STORE_GRACE_PERIOD_MS = 700;

/** Retry delay given to callers. An instance starts, and a short failure ends, within this time. */
const RETRY_AFTER_MS = 1_000;

/**
 * Retry delay once a store outage has lasted for `RETRY_AFTER_MS`: it will likely last as long again, and callers retry
 * only a few times. A longer delay would make urgent jobs late needlessly.
 */
const LONG_OUTAGE_RETRY_AFTER_MS = 2_000;

/** Retry delay while jobs take all memory that they may: they end within seconds, and not all at once. */
const FULL_RETRY_AFTER_MS = 2_000;

/** How far the stream of jobs has been read. */
export interface JobStreamState {
    /** Whether the stream has been loaded once. */
    readonly hasLoaded: boolean;
    /** Time (ms) up to which all records are known; `undefined` before the stream is loaded, and after a suspension. */
    readonly knownUntil: number | undefined;
}

/** What the answers to calls depend on. */
export interface CallViews {
    readonly jobs: JobStreamState;
    readonly configuration: ConfigurationView;
}

/** A call that has not been answered. */
interface OpenCall {
    readonly call: JobCall;
    readonly receivedAt: number;
    readonly answerDeadline: number;
    readonly queue: Queue;
    readonly id: string;
    /** Whether the call waits until the stream is known up to `receivedAt`. */
    readonly isAwaitingStream: boolean;
    /** Memory of the job that is being stored, in bytes. */
    readonly jobBytes: number;
}

/** Handles calls about jobs: answers from the tables, and writes submissions and cancellations to the stream. */
export class JobCallHandler {
    private readonly openCalls = new Map<number, OpenCall>();

    private constructor(
        private readonly jobs: JobTable,
        private readonly queues: QueueTable,
        private readonly writer: RecordWriter,
        private readonly views: CallViews,
        private readonly sendAnswer: (call: JobCall, answer: JobAnswer) => void,
        private readonly admission: JobAdmission,
    ) {}

    /**
     * @param jobs All known jobs.
     * @param queues The configured queues.
     * @param writer Writes submissions and cancellations.
     * @param views How far the streams have been read.
     * @param sendAnswer Sends the answer to a call.
     * @param maxJobBytes Memory for jobs, in bytes.
     * @returns A handler without calls.
     */
    static create(
        jobs: JobTable,
        queues: QueueTable,
        writer: RecordWriter,
        views: CallViews,
        sendAnswer: (call: JobCall, answer: JobAnswer) => void,
        maxJobBytes = Number.POSITIVE_INFINITY,
    ): JobCallHandler {
        const admission = JobAdmission.create(maxJobBytes, () => jobs.heldBytes);
        return new JobCallHandler(jobs, queues, writer, views, sendAnswer, admission);
    }

    /** Number of calls that have not been answered. */
    get openCallCount(): number {
        return this.openCalls.size;
    }

    /**
     * @param now Time in ms.
     * @returns Whether the latest append was confirmed, appends began to fail only recently, or none is left to be retried and the jobs
     * were read since the latest failure.
     */
    isStoreWorking(now: number): boolean {
        const { firstFailedAt } = this.writer;
        return firstFailedAt === undefined || now - firstFailedAt < STORE_GRACE_PERIOD_MS;
    }

    /** Handles a call. @param call The call. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    handle(call: JobCall, now: number, wallNow: number): void {
        if (!this.views.configuration.isInForce(now) || !this.views.jobs.hasLoaded) {
            this.sendAnswer(call, this.answerWithoutViews());
            return;
        }
        const resolved = this.queues.resolve(call.host, call.path);
        if (resolved === undefined) {
            this.sendAnswer(call, { kind: "no-queue" });
            return;
        }
        const { queue, pathSuffix } = resolved;
        if (pathSuffix === "" && call.request.kind === "read") {
            this.answerPendingCount(call, queue, now);
        } else if (!JOB_ID.test(pathSuffix)) {
            this.sendAnswer(call, { kind: "invalid", faults: ["the identifier is not 16 hexadecimal digits"] });
        } else {
            this.handleJobCall(call, queue, pathSuffix, now, wallNow);
        }
    }

    /**
     * Answers calls that waited for the stream, that cannot be served, or whose callers are about to time out.
     * @param now Time in ms.
     */
    tick(now: number): void {
        const { knownUntil } = this.views.jobs;
        if (knownUntil !== undefined) {
            this.writer.handleStoreAnswer(knownUntil);
        }
        const isStoreWorking = this.isStoreWorking(now);
        for (const openCall of [...this.openCalls.values()]) {
            if (openCall.isAwaitingStream && (this.views.jobs.knownUntil ?? 0) > openCall.receivedAt) {
                this.completeReadOrCancel(openCall);
            } else if (now >= openCall.answerDeadline) {
                this.expire(openCall);
            } else if (!isStoreWorking) {
                this.rejectIfNotSent(openCall, now);
            }
        }
    }

    /** Answers all calls with what is known now, as at the end of their timeouts. */
    expireAll(): void {
        [...this.openCalls.values()].forEach(each => this.expire(each));
    }

    /** An instance that starts is ready soon. One whose view has become old has been without the store for longer than that. */
    private answerWithoutViews(): JobAnswer {
        const isStarting = this.queues.version === undefined || !this.views.jobs.hasLoaded;
        return isStarting
            ? { kind: "unavailable", reason: "starting", retryAfterMs: RETRY_AFTER_MS }
            : { kind: "unavailable", reason: "configuration-old", retryAfterMs: LONG_OUTAGE_RETRY_AFTER_MS };
    }

    private handleJobCall(call: JobCall, queue: Queue, id: string, now: number, wallNow: number): void {
        const timeoutMs = Math.max(0, (call.callerTimeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS) - CALLER_TIMEOUT_MARGIN_MS);
        const base = { call, receivedAt: now, answerDeadline: now + timeoutMs, queue, id, jobBytes: 0 };
        const { request } = call;
        switch (request.kind) {
            case "invalid":
                this.sendAnswer(call, { kind: "invalid", faults: request.faults });
                break;
            case "submit":
                this.submit({ ...base, isAwaitingStream: false }, request.draft, now, wallNow);
                break;
            case "read":
            case "cancel":
                this.handleReadOrCancel({ ...base, isAwaitingStream: true }, now);
                break;
        }
    }

    private submit(openCall: OpenCall, draft: JobDraft, now: number, wallNow: number): void {
        const { call, id, queue } = openCall;
        if (this.jobs.find(id) !== undefined) {
            this.sendAnswer(call, { kind: "accepted" });
            return;
        }
        if (!this.isStoreWorking(now)) {
            this.sendAnswer(call, this.unavailableAnswer(now));
            return;
        }
        const record = { key: jobKey("spec", id), value: encodeSpec({ id, queue, acceptedAtMs: wallNow, ...draft }) };
        if (isTooLarge(record)) {
            const fault = `the job takes ${recordBytes(record)} bytes of the ${MAX_RECORD_BYTES} that can be stored`;
            this.sendAnswer(call, { kind: "invalid", faults: [fault] });
            return;
        }
        const jobBytes = estimateJobBytes(draft, true);
        const refusal = this.refusalOf(jobBytes);
        if (refusal !== undefined) {
            this.sendAnswer(call, refusal);
            return;
        }
        const admitted = { ...openCall, jobBytes };
        this.admission.begin(jobBytes);
        this.openCalls.set(call.number, admitted);
        this.writer.write(
            record.key,
            () => record.value,
            () => this.complete(admitted, { kind: "accepted" }),
        );
    }

    private refusalOf(jobBytes: number): JobAnswer | undefined {
        switch (this.admission.judge(jobBytes)) {
            case "admitted":
                return undefined;
            case "full":
                return { kind: "unavailable", reason: "jobs-full", retryAfterMs: FULL_RETRY_AFTER_MS };
            case "too-large":
                return { kind: "invalid", faults: ["the job would take more memory than jobs may take"] };
        }
    }

    /** A job that is not known may just have been accepted by another instance, so the call waits for newer records. */
    private handleReadOrCancel(openCall: OpenCall, now: number): void {
        this.openCalls.set(openCall.call.number, openCall);
        if (this.jobs.find(openCall.id) !== undefined) {
            this.completeReadOrCancel(openCall);
        } else if (this.isStreamStale(now)) {
            this.complete(openCall, { kind: "unavailable", reason: "jobs-late", retryAfterMs: RETRY_AFTER_MS });
        }
    }

    private completeReadOrCancel(openCall: OpenCall): void {
        const entry = this.jobs.find(openCall.id);
        if (entry === undefined) {
            this.complete(openCall, { kind: "no-job" });
        } else if (openCall.call.request.kind === "read") {
            this.complete(openCall, { kind: "state", state: visibleStateOf(entry) });
        } else if (entry.isCancelled || isFinal(visibleStateOf(entry))) {
            this.complete(openCall, { kind: "cancelled" });
        } else {
            this.openCalls.set(openCall.call.number, { ...openCall, isAwaitingStream: false });
            const onStored = () => this.complete(openCall, { kind: "cancelled" });
            this.writer.write(jobKey("cancellation", openCall.id), () => "1", onStored);
        }
    }

    private answerPendingCount(call: JobCall, queue: Queue, now: number): void {
        const answer: JobAnswer = this.isStreamFresh(now)
            ? { kind: "pending", count: this.jobs.countQueued(queue.name) }
            : { kind: "unavailable", reason: "jobs-late", retryAfterMs: RETRY_AFTER_MS };
        this.sendAnswer(call, answer);
    }

    /** The count must not be that of a stream of unknown age. */
    private isStreamFresh(now: number): boolean {
        return this.views.jobs.knownUntil !== undefined && !this.isStreamStale(now);
    }

    /** Whether the stream is read too late for a call to wait for it. After a suspension, the next read is awaited. */
    private isStreamStale(now: number): boolean {
        return now - (this.views.jobs.knownUntil ?? now) >= MAX_STREAM_AGE_MS;
    }

    /**
     * A submission that is still pending was certainly not stored, so it can be rejected before its caller times out.
     */
    private rejectIfNotSent(openCall: OpenCall, now: number): void {
        if (openCall.call.request.kind === "submit" && this.writer.withdraw(jobKey("spec", openCall.id))) {
            this.complete(openCall, this.unavailableAnswer(now));
        }
    }

    private unavailableAnswer(now: number): JobAnswer {
        const outageMs = now - (this.writer.firstFailedAt ?? now);
        return {
            kind: "unavailable",
            reason: "store-failing",
            retryAfterMs: outageMs < RETRY_AFTER_MS ? RETRY_AFTER_MS : LONG_OUTAGE_RETRY_AFTER_MS,
        };
    }

    private expire(openCall: OpenCall): void {
        const { request } = openCall.call;
        const isWithdrawn = request.kind === "submit" && this.writer.withdraw(jobKey("spec", openCall.id));
        const isUndecided = request.kind === "submit" && !isWithdrawn;
        const reason = openCall.isAwaitingStream ? "jobs-late" : "store-late";
        const answer: JobAnswer = isUndecided
            ? { kind: "undecided" }
            : { kind: "unavailable", reason, retryAfterMs: RETRY_AFTER_MS };
        this.complete(openCall, answer);
    }

    private complete(openCall: OpenCall, answer: JobAnswer): void {
        if (this.openCalls.delete(openCall.call.number)) {
            this.admission.end(openCall.jobBytes);
            this.sendAnswer(openCall.call, answer);
        }
    }
}
