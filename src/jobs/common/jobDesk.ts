import { RecordWriter } from "../../records/common/recordWriter";
import { JobAnswer, JobCall, JobDraft } from "./jobCall";
import { encodeSpec, jobKey } from "./jobRecord";
import { isFinal, JobTable, stateOf } from "./jobTable";
import { Queue, QueueTable } from "./queueTable";

const JOB_ID = /^[0-9a-f]{16}$/i;

/** Time before the caller gives up at which it is answered in any case, in ms. */
const ANSWER_MARGIN_MS = 150;

/** How long a caller that does not say so is taken to wait, in ms. */
const DEFAULT_PATIENCE_MS = 3_000;

/** Age from which what the stream shows is too old to count waiting jobs, in ms; callers accept 2 s. */
const STALE_MS = 2_000;

/** Time without a confirmed append after which submissions are refused at once, in ms. */
const STORE_PATIENCE_MS = 700;

/** When a caller that is refused should come back, in ms: an instance that starts, or a short failure, takes no longer. */
const RETRY_AFTER_MS = 1_000;

/**
 * When a caller should come back once an outage of the store has lasted as long as the above, in ms: it will likely last
 * for as long again, and callers come back a few times only. Longer would make urgent jobs late for no reason.
 */
const LATER_RETRY_AFTER_MS = 2_000;

/** What the desk reads besides the tables. */
export interface JobStreamState {
    /** Time (ms) up to which the stream of jobs is known; `undefined` before it is loaded. */
    readonly knownUntil: number | undefined;
}

interface OpenCall {
    readonly call: JobCall;
    readonly receivedAt: number;
    readonly answerBy: number;
    readonly queue: Queue;
    readonly id: string;
    /** Waits until the stream is known up to this time (ms). */
    readonly awaitsStream: boolean;
}

/** Answers the calls of callers from the tables, and writes submissions and cancellations to the stream. */
export class JobDesk {
    private readonly open = new Map<number, OpenCall>();

    private constructor(
        private readonly jobs: JobTable,
        private readonly queues: QueueTable,
        private readonly writer: RecordWriter,
        private readonly stream: JobStreamState,
        private readonly answer: (call: JobCall, answer: JobAnswer) => void,
    ) {}

    /**
     * @param jobs All jobs.
     * @param queues Queues as configured.
     * @param writer Writes submissions and cancellations.
     * @param stream State of the stream of jobs.
     * @param answer Answers a call.
     * @returns A desk without calls.
     */
    static create(
        jobs: JobTable,
        queues: QueueTable,
        writer: RecordWriter,
        stream: JobStreamState,
        answer: (call: JobCall, answer: JobAnswer) => void,
    ): JobDesk {
        return new JobDesk(jobs, queues, writer, stream, answer);
    }

    /** Number of calls that are not answered yet. */
    get openCalls(): number {
        return this.open.size;
    }

    /** Whether submissions can be stored: the latest append was confirmed, or the failure is recent. @param now In ms. */
    isStoreWorking(now: number): boolean {
        const { firstFailedAt } = this.writer;
        return firstFailedAt === undefined || now - firstFailedAt < STORE_PATIENCE_MS;
    }

    /** Takes a call. @param call The call. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    take(call: JobCall, now: number, wallNow: number): void {
        if (this.queues.version === undefined || this.stream.knownUntil === undefined) {
            this.answer(call, { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS });
            return;
        }
        const resolved = this.queues.resolve(call.host, call.path);
        if (resolved === undefined) {
            this.answer(call, { kind: "no-queue" });
            return;
        }
        const { queue, rest } = resolved;
        if (rest === "" && call.request.kind === "read") {
            this.count(call, queue, now);
        } else if (!JOB_ID.test(rest)) {
            this.answer(call, { kind: "invalid", faults: ["the identifier is not 16 hexadecimal digits"] });
        } else {
            this.takeJob(call, queue, rest, now, wallNow);
        }
    }

    /**
     * Answers calls that waited for the stream, that cannot be served, or whose callers are about to give up.
     * @param now Time in ms.
     */
    tick(now: number): void {
        const isStoreWorking = this.isStoreWorking(now);
        for (const open of [...this.open.values()]) {
            if (open.awaitsStream && (this.stream.knownUntil ?? 0) > open.receivedAt) {
                this.answerKnown(open);
            } else if (now >= open.answerBy) {
                this.giveUp(open);
            } else if (!isStoreWorking) {
                this.refuseUnsent(open, now);
            }
        }
    }

    private takeJob(call: JobCall, queue: Queue, id: string, now: number, wallNow: number): void {
        const patience = Math.max(0, (call.patienceMs ?? DEFAULT_PATIENCE_MS) - ANSWER_MARGIN_MS);
        const base = { call, receivedAt: now, answerBy: now + patience, queue, id };
        const { request } = call;
        switch (request.kind) {
            case "invalid":
                this.answer(call, { kind: "invalid", faults: request.faults });
                break;
            case "submit":
                this.submit({ ...base, awaitsStream: false }, request.draft, now, wallNow);
                break;
            case "read":
            case "cancel":
                this.takeKnown({ ...base, awaitsStream: true }, now);
                break;
        }
    }

    private submit(open: OpenCall, draft: JobDraft, now: number, wallNow: number): void {
        const { call, id, queue } = open;
        if (this.jobs.find(id) !== undefined) {
            this.answer(call, { kind: "accepted" });
            return;
        }
        if (!this.isStoreWorking(now)) {
            this.answer(call, this.unavailable(now));
            return;
        }
        this.open.set(call.number, open);
        const value = encodeSpec({ id, queue, acceptedAtMs: wallNow, ...draft });
        this.writer.write(
            jobKey("spec", id),
            () => value,
            () => this.settle(open, { kind: "accepted" }),
        );
    }

    /** Reads or cancels. A job that is not known may have been accepted by another instance a moment ago. */
    private takeKnown(open: OpenCall, now: number): void {
        this.open.set(open.call.number, open);
        if (this.jobs.find(open.id) !== undefined) {
            this.answerKnown(open);
        } else if (!this.isStreamFresh(now)) {
            this.settle(open, { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS });
        }
    }

    private answerKnown(open: OpenCall): void {
        const entry = this.jobs.find(open.id);
        if (entry === undefined) {
            this.settle(open, { kind: "no-job" });
        } else if (open.call.request.kind === "read") {
            this.settle(open, { kind: "state", state: stateOf(entry) });
        } else if (entry.isCancelled || isFinal(stateOf(entry))) {
            this.settle(open, { kind: "cancelled" });
        } else {
            this.open.set(open.call.number, { ...open, awaitsStream: false });
            const onStored = () => this.settle(open, { kind: "cancelled" });
            this.writer.write(jobKey("cancellation", open.id), () => "1", onStored);
        }
    }

    private count(call: JobCall, queue: Queue, now: number): void {
        const answer: JobAnswer = this.isStreamFresh(now)
            ? { kind: "pending", count: this.jobs.pending(queue.name) }
            : { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        this.answer(call, answer);
    }

    private isStreamFresh(now: number): boolean {
        return now - this.stream.knownUntil! < STALE_MS;
    }

    /** A submission that waits behind an append without an answer can still be refused truly, and sooner is better. */
    private refuseUnsent(open: OpenCall, now: number): void {
        if (open.call.request.kind === "submit" && this.writer.withdraw(jobKey("spec", open.id))) {
            this.settle(open, this.unavailable(now));
        }
    }

    private unavailable(now: number): JobAnswer {
        const outageMs = now - (this.writer.firstFailedAt ?? now);
        return {
            kind: "unavailable",
            retryAfterMs: outageMs < RETRY_AFTER_MS ? RETRY_AFTER_MS : LATER_RETRY_AFTER_MS,
        };
    }

    private giveUp(open: OpenCall): void {
        const { request } = open.call;
        const isUnsent = request.kind === "submit" && this.writer.withdraw(jobKey("spec", open.id));
        const isUndecided = request.kind === "submit" && !isUnsent;
        const answer: JobAnswer = isUndecided
            ? { kind: "undecided" }
            : { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
        this.settle(open, answer);
    }

    private settle(open: OpenCall, answer: JobAnswer): void {
        if (this.open.delete(open.call.number)) {
            this.answer(open.call, answer);
        }
    }
}
