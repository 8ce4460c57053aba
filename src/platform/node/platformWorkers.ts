import { OrderAnswer, TaskWorkers } from "../../dispatch/common/taskWorker";
import { WorkerEntry } from "../../dispatch/common/workerEntry";
import {
    ListOrder,
    OrderOutcome,
    RunEnd,
    RunList,
    StartOrder,
    StopOrder,
    ThrottleOrder,
} from "../../dispatch/common/workerTraffic";
import { isNotSent } from "../../services/node/connectionPool";
import { HttpAnswer, HttpClient } from "../../services/node/httpClient";
import { WireLists } from "../common/wireTypes";

/** Time within which a worker must answer, besides the time that it waits, in ms: twenty round trips between regions. */
const ANSWER_TIMEOUT_MS = 800;

const REASONS: Readonly<Record<string, OrderOutcome>> = {
    fence: "fenced",
    old: "superseded",
    late: "too-late",
    room: "no-room",
    ticket: "no-ticket",
};

const STATUSES: Readonly<Record<number, OrderOutcome>> = {
    200: "done",
    421: "other-incarnation",
    429: "unhealthy",
    503: "unhealthy",
};

/** Calls workers over HTTP. */
export class PlatformWorkers extends TaskWorkers {
    private constructor(private readonly client: HttpClient) {
        super();
    }

    /** @param client Connections to the workers. @returns The caller. */
    static create(client: HttpClient): PlatformWorkers {
        return new PlatformWorkers(client);
    }

    override start(worker: WorkerEntry, order: StartOrder): Promise<OrderAnswer> {
        return this.call(worker, "/api/run-start", {
            task: order.task,
            run: order.run,
            spec: order.payload,
            untilMs: order.validUntil,
            fence: order.epoch,
            checkpointId: order.checkpoint || undefined,
            ticket: order.ticket,
        });
    }

    override stop(worker: WorkerEntry, order: StopOrder): Promise<OrderAnswer> {
        return this.call(worker, "/api/run-stop", { task: order.task, run: order.run, fence: order.epoch });
    }

    override throttle(worker: WorkerEntry, order: ThrottleOrder): Promise<OrderAnswer> {
        const { task, run, percent, epoch } = order;
        return this.call(worker, "/api/pace", { task, run, percent, fence: epoch });
    }

    override list(worker: WorkerEntry, order: ListOrder): Promise<OrderAnswer> {
        const body = {
            fence: order.epoch,
            lastSeen: order.recordedUpTo,
            untilMs: order.leaseUntil,
            waitMs: order.waitMs || undefined,
        };
        return this.call(worker, "/api/hold", body, order.waitMs);
    }

    override forget(worker: WorkerEntry): void {
        this.client.forget(`http://${worker.address}`);
    }

    private async call(worker: WorkerEntry, path: string, body: object, waitMs = 0): Promise<OrderAnswer> {
        try {
            const answer = await this.client.call({
                origin: `http://${worker.address}`,
                method: "POST",
                path,
                headers: { "content-type": "application/json", "expect-instance": worker.id },
                body: JSON.stringify(body),
                timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
            });
            return decodeAnswer(answer);
        } catch (error) {
            return { outcome: isNotSent(error) ? "unreachable" : "no-answer", clockMs: undefined };
        }
    }
}

function decodeAnswer(answer: HttpAnswer): OrderAnswer {
    const text = new TextDecoder().decode(answer.body);
    const body = (text === "" ? {} : JSON.parse(text)) as Partial<WireLists> & { reason?: string };
    const outcome =
        answer.status === 409 ? (REASONS[body.reason ?? ""] ?? "invalid") : (STATUSES[answer.status] ?? "invalid");
    return { outcome, clockMs: body.clockMs, list: answer.status === 200 ? toList(body) : undefined };
}

function toList(body: Partial<WireLists>): RunList {
    return {
        incarnation: body.born,
        running: (body.running ?? []).map(([task, run, checkpoint, percent, measure]) => ({
            task,
            run,
            checkpoint,
            percent,
            measure: measure ?? 0,
        })),
        ended: (body.ended ?? []).map(([number, task, run, end, checkpoint]) => ({
            number,
            task,
            run,
            end: end as RunEnd,
            checkpoint,
        })),
    };
}
