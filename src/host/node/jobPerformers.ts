import { Err, Result } from "ts-results";
import { Disposable } from "../../base/common/disposable";
import { Emitter } from "../../base/common/emitter";
import { OrderAnswer, WorkerClient } from "../../dispatch/common/workers/workerClient";
import { WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { JobAnswer, JobCall } from "../../jobs/common/jobCall";
import { MAX_RECORD_BYTES } from "../../records/common/recordSize";
import { PageTransfer, RecordStore, StreamName } from "../../records/common/recordStore";
import { RecordEffect } from "../../records/common/recordEvents";
import { JobInstanceEffect, JobInstanceEvent } from "../common/jobInstanceEvents";
import { DecisionLog, LineImportance } from "./decisionLog";
import { JobMetrics } from "./jobMetrics";
import { OrderSender } from "./orderSender";

/** Decisions made for every task. Under load, their log lines are omitted first. */
const DETAIL_DECISIONS: readonly string[] = ["run-started", "run-ended", "run-throttled", "start-withheld"];

/** Results of calls that ended with an unexpected error. They are shared, since each new one records the stack. */
const APPEND_FAILURE = Err("unknown" as const);
const READ_FAILURE = Err("unavailable" as const);

/** A caller that has not been answered. */
interface PendingReply {
    readonly reply: (answer: JobAnswer) => void;
    /** Time (ms) at which the call was received. */
    readonly receivedAt: number;
}

/** Time in ms for which an order waited before it was sent. */
export interface OrderWait {
    readonly order: WorkerEffect["kind"];
    readonly waitMs: number;
}

/** A page of a stream that was read. */
export interface PageRead {
    readonly stream: StreamName;
    readonly transfer: PageTransfer;
}

/** Performs the effects of an instance and posts the resulting events. */
export class JobPerformers implements Disposable {
    private readonly pendingReplies = new Map<number, PendingReply>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly orders = OrderSender.create(effect => this.callWorker(effect));
    private readonly didWaitToSend = Emitter.create<OrderWait>();
    /** Fires with the time for which each order waited before it was sent. */
    readonly onDidWaitToSend = this.didWaitToSend.event;
    private readonly didRead = Emitter.create<PageRead>();
    /** Fires with each page that was read, if its transfer was measured. */
    readonly onDidRead = this.didRead.event;

    private constructor(
        private readonly store: RecordStore,
        private readonly workers: WorkerClient,
        private readonly log: DecisionLog,
        private readonly metrics: JobMetrics,
        private readonly post: (event: JobInstanceEvent) => void,
        private readonly onStopped: () => void,
    ) {}

    /**
     * @param store Store of the streams.
     * @param workers Client for the orders to workers.
     * @param log Log of decisions.
     * @param metrics Metrics of the instance.
     * @param post Receives events.
     * @param onStopped Called when the instance has stopped.
     * @returns The performers.
     */
    static create(
        store: RecordStore,
        workers: WorkerClient,
        log: DecisionLog,
        metrics: JobMetrics,
        post: (event: JobInstanceEvent) => void,
        onStopped: () => void,
    ): JobPerformers {
        return new JobPerformers(store, workers, log, metrics, post, onStopped);
    }

    /** Handles a call. @param call The call. @param reply Receives its answer. */
    handleCall(call: JobCall, reply: (answer: JobAnswer) => void): void {
        this.pendingReplies.set(call.number, { reply, receivedAt: performance.now() });
        this.post({ kind: "call", call });
    }

    /** Performs one effect. */
    perform(effect: JobInstanceEffect): void {
        switch (effect.kind) {
            case "append":
            case "read":
            case "read-newest":
                this.performStoreCall(effect);
                break;
            case "start":
            case "stop":
            case "throttle":
            case "list":
                void this.performOrder(effect);
                break;
            case "answer":
                this.performAnswer(effect.call, effect.answer);
                break;
            case "decision":
                this.metrics.recordDecision(effect.name, effect.data);
                this.log.log(effect.name, effect.data, importanceOf(effect.name));
                break;
            case "task-started":
                this.metrics.recordStart(effect);
                break;
            case "record-dropped": {
                const { stream, key, bytes } = effect;
                this.log.log("record-dropped", { stream, key, bytes, limit: MAX_RECORD_BYTES });
                break;
            }
            case "stopped":
                this.onStopped();
                break;
        }
    }

    /** Cancels delayed effects. */
    dispose(): void {
        this.timers.forEach(clearTimeout);
        this.timers.clear();
        this.orders.dispose();
    }

    private performStoreCall(effect: RecordEffect): void {
        const { stream } = effect;
        if (effect.kind === "append") {
            const { writer, append } = effect;
            const send = () => this.store.append(stream, append);
            void this.callStore("append", send, APPEND_FAILURE).then(({ result }) =>
                this.post({ kind: "append-answer", writer, sequence: append.sequence, result }),
            );
            return;
        }
        const { number } = effect;
        this.delay(effect.delayMs, () => {
            if (effect.kind === "read") {
                const send = () => this.store.read(stream, effect.from, effect.waitMs);
                void this.callStore("read", send, READ_FAILURE).then(({ result, sentAt }) => {
                    this.reportRead(stream, result);
                    this.post({ kind: "read-answer", stream, number, sentAt, result });
                });
            } else {
                const send = () => this.store.readNewest(stream, effect.after);
                void this.callStore("newest", send, READ_FAILURE).then(({ result, sentAt }) => {
                    this.reportRead(stream, result);
                    this.post({ kind: "newest-answer", stream, number, sentAt, result });
                });
            }
        });
    }

    private reportRead(stream: StreamName, result: Result<{ readonly transfer?: PageTransfer }, string>): void {
        const transfer = result.ok ? result.val.transfer : undefined;
        if (transfer !== undefined) {
            this.didRead.fire({ stream, transfer });
        }
    }

    /**
     * Calls the store and records the duration and the outcome.
     * @param call Name of the call in log and metrics.
     * @param send Sends the call.
     * @param failure Replaces the result after an unexpected error, which is logged.
     * @returns The result, and the time (ms) at which the call was sent.
     */
    private async callStore<T, E extends string>(
        call: string,
        send: () => Promise<Result<T, E>>,
        failure: Result<T, E>,
    ): Promise<{ readonly result: Result<T, E>; readonly sentAt: number }> {
        const sentAt = performance.now();
        const result = await send().catch((error: unknown) => {
            this.log.log("unexpected-error", { call, error: String(error) });
            return failure;
        });
        this.metrics.recordStoreCall(call, result.ok ? "done" : result.val, performance.now() - sentAt);
        return { result, sentAt };
    }

    private async performOrder(effect: WorkerEffect): Promise<void> {
        const sentAt = performance.now();
        const worker = effect.worker.id;
        const answer = await this.orders.send(effect).catch((error: unknown): OrderAnswer => {
            this.log.log("unexpected-error", { call: effect.kind, error: String(error) });
            return { outcome: "no-answer", clockMs: undefined };
        });
        this.metrics.recordOrder(effect.kind, answer.outcome, performance.now() - sentAt);
        if (answer.unsentMs !== undefined) {
            this.metrics.recordOrderWait(effect.kind, answer.unsentMs);
            this.didWaitToSend.fire({ order: effect.kind, waitMs: answer.unsentMs });
        }
        const receivedAt = performance.now();
        const base = { worker, sentAt, receivedAt, outcome: answer.outcome, clockMs: answer.clockMs };
        switch (effect.kind) {
            case "start":
                this.post({ kind: "start-answer", order: effect.order, ...base });
                break;
            case "stop":
                this.post({ kind: "stop-answer", order: effect.order, ...base });
                break;
            case "throttle":
                this.post({ kind: "throttle-answer", order: effect.order, ...base });
                break;
            case "list":
                this.post({ kind: "list-answer", order: effect.order, list: answer.list, ...base });
                break;
        }
    }

    private callWorker(effect: WorkerEffect): Promise<OrderAnswer> {
        switch (effect.kind) {
            case "start":
                return this.workers.start(effect.worker, effect.order);
            case "stop":
                return this.workers.stop(effect.worker, effect.order);
            case "throttle":
                return this.workers.throttle(effect.worker, effect.order);
            case "list":
                return this.workers.listRuns(effect.worker, effect.order);
        }
    }

    private performAnswer(call: JobCall, answer: JobAnswer): void {
        const pending = this.pendingReplies.get(call.number);
        this.pendingReplies.delete(call.number);
        const tookMs = performance.now() - (pending?.receivedAt ?? performance.now());
        this.metrics.recordCall(call.request.kind, answer.kind, tookMs);
        if (answer.kind === "unavailable") {
            this.metrics.recordUnavailable(call.request.kind, answer.reason);
        }
        if (answer.kind !== "state" && answer.kind !== "pending") {
            const { kind } = call.request;
            this.log.log("call-answered", {
                path: call.path,
                request: kind,
                ...answer,
                answer: answer.kind,
                tookMs: Math.round(tookMs),
                kind: undefined,
            });
        }
        pending?.reply(answer);
    }

    private delay(ms: number, action: () => void): void {
        if (ms === 0) {
            action();
            return;
        }
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            action();
        }, ms);
        this.timers.add(timer);
    }
}

function importanceOf(decision: string): LineImportance {
    return DETAIL_DECISIONS.includes(decision) ? "detail" : "essential";
}
