import { TrafficMeter } from "../../base/common/trafficMeter";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { OrderAnswer, WorkerClient } from "../../dispatch/common/workers/workerClient";
import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import {
    ListOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerEffect,
} from "../../dispatch/common/workers/workerMessages";
import { isNotSent } from "../../services/node/connectionPool";
import { HttpClient } from "../../services/node/httpClient";
import { decodeWorkerAnswer } from "../common/answerDecoder";
import { AnswerTimes } from "../common/answerTimes";
import { FailureListener } from "../common/failureListener";

/** Path of each order. */
const PATHS: Readonly<Record<WorkerEffect["kind"], string>> = {
    start: "/api/run-start",
    stop: "/api/run-stop",
    throttle: "/api/pace",
    list: "/api/hold",
};

/** Calls workers over HTTP. */
export class PlatformWorkers extends WorkerClient {
    private readonly times = AnswerTimes.create();

    private constructor(
        private readonly client: HttpClient,
        private readonly onFailure: FailureListener,
        private readonly traffic: TrafficMeter<RequestKind>,
    ) {
        super();
    }

    /**
     * @param client HTTP client for the workers.
     * @param onFailure Called for malformed answers.
     * @param traffic Counts the orders that are sent.
     * @returns The client.
     */
    static create(
        client: HttpClient,
        onFailure: FailureListener,
        traffic = TrafficMeter.create<RequestKind>(),
    ): PlatformWorkers {
        return new PlatformWorkers(client, onFailure, traffic);
    }

    override start(worker: WorkerEntry, order: StartOrder): Promise<OrderAnswer> {
        return this.call(worker, "start", {
            task: order.task,
            run: order.run,
            spec: order.payload,
            untilMs: order.validUntil,
            fence: order.fence,
            checkpointId: order.checkpoint || undefined,
            ticket: order.ticket,
        });
    }

    override stop(worker: WorkerEntry, order: StopOrder): Promise<OrderAnswer> {
        return this.call(worker, "stop", { task: order.task, run: order.run, fence: order.fence });
    }

    override throttle(worker: WorkerEntry, order: ThrottleOrder): Promise<OrderAnswer> {
        const { task, run, percent, fence } = order;
        return this.call(worker, "throttle", { task, run, percent, fence });
    }

    override listRuns(worker: WorkerEntry, order: ListOrder): Promise<OrderAnswer> {
        const body = {
            fence: order.fence,
            lastSeen: order.recordedUpTo,
            untilMs: order.leaseUntil,
            waitMs: order.waitMs || undefined,
        };
        return this.call(worker, "list", body, order.waitMs);
    }

    override closeConnections(worker: WorkerEntry): void {
        this.client.closeConnections(`http://${worker.address}`);
    }

    private async call(
        worker: WorkerEntry,
        kind: WorkerEffect["kind"],
        order: object,
        waitMs = 0,
    ): Promise<OrderAnswer> {
        const path = PATHS[kind];
        const body = JSON.stringify(order);
        const timeoutMs = waitMs + this.times.timeoutMs(worker.failureDomain);
        const startedAt = performance.now();
        let sentAt: number | undefined;
        const unsentMs = () => (sentAt ?? performance.now()) - startedAt;
        try {
            const answer = await this.client.call({
                origin: `http://${worker.address}`,
                method: "POST",
                path,
                headers: { "content-type": "application/json", "expect-instance": worker.id },
                body,
                timeoutMs,
                onSent: () => {
                    sentAt = performance.now();
                    this.traffic.record(kind, Buffer.byteLength(body));
                },
            });
            if (waitMs === 0) {
                // It is not known how long the worker waited before it answered a long poll.
                this.times.record(worker.failureDomain, performance.now() - startedAt);
            }
            const decoded = decodeWorkerAnswer(answer.status, answer.body);
            if (decoded === undefined) {
                this.onFailure(path, `malformed answer of ${worker.id}, status ${answer.status}`);
            }
            return { ...(decoded ?? { outcome: "no-answer", clockMs: undefined }), unsentMs: unsentMs() };
        } catch (error) {
            const durationMs = performance.now() - startedAt;
            if (durationMs >= timeoutMs) {
                this.times.record(worker.failureDomain, durationMs - waitMs);
            }
            return {
                outcome: isNotSent(error) ? "unreachable" : "no-answer",
                clockMs: undefined,
                unsentMs: unsentMs(),
            };
        }
    }
}
