import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { DecisionData, DecisionName, TaskStartedEffect } from "../../dispatch/common/scheduler/dispatchEffects";
import { Refusal } from "../../ingress/common/ingressGuard";
import { UnavailableReason } from "../../jobs/common/jobCall";
import { StreamName } from "../../records/common/recordStore";
import { WorkKind } from "../common/workKind";

const MS_PER_SECOND = 1_000;

/** Bucket bounds of call durations: from one round trip within a failure domain to the timeout of callers. */
const CALL_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

/** Bucket bounds of the wait for a start. Urgent tasks must start within 5.4 s. */
const START_WAIT_BUCKETS_S = [0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5.4, 10, 20, 60];

/** Bucket bounds of the delay of the loop: from less than a tick to the time in which leadership is lost. */
const LOOP_DELAY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

/** End of the names of the shares in a line about the load of a shard. */
const PERCENT_SUFFIX = "Percent";

/** Counters, gauges and latency histograms of one instance. */
export class JobMetrics {
    private readonly registry = new Registry();
    private readonly calls: Histogram<"request" | "answer">;
    private readonly storeCalls: Histogram<"call" | "outcome">;
    private readonly orders: Histogram<"order" | "outcome">;
    private readonly orderWaits: Histogram<"order">;
    private readonly startWaits: Histogram;
    private readonly decisions: Counter<"decision" | "outcome">;
    private readonly omittedLines: Counter;
    private readonly loopDelays: Histogram;
    private readonly workSeconds: Counter<"kind">;
    private readonly collectionSeconds = new Counter({
        name: "wigeonstall_gc_seconds_total",
        help: "Time that the runtime spent on garbage collection.",
        registers: [this.registry],
    });
    private readonly sentBytes = new Counter({
        name: "wigeonstall_sent_bytes_total",
        help: "Bytes of the bodies of orders to workers and of appends to the store.",
        labelNames: ["kind"],
        registers: [this.registry],
    });
    private readonly shardLoads = new Gauge({
        name: "wigeonstall_service_load_percent",
        help: "Share of a service's CPU or memory in a shard that this instance leads, by what uses it or waits for it.",
        labelNames: ["shard", "service", "part"],
        registers: [this.registry],
    });
    private readonly lastingWaits = new Gauge({
        name: "wigeonstall_lasting_tasks_waiting",
        help: "Long-running tasks of a service in a shard that this instance leads that have had no run for 2 s.",
        labelNames: ["shard", "service"],
        registers: [this.registry],
    });
    private readonly places = new Counter({
        name: "wigeonstall_placed_tasks_total",
        help: "Starts of tasks that run fastest on one rack, by where they started and why.",
        labelNames: ["place", "reason"],
        registers: [this.registry],
    });
    private readonly placeWaits = new Histogram({
        name: "wigeonstall_place_wait_seconds",
        help: "Time for which a task had waited for the rack on which it runs fastest when it started there or elsewhere.",
        buckets: START_WAIT_BUCKETS_S,
        labelNames: ["place"],
        registers: [this.registry],
    });
    private readonly readBytes = new Counter({
        name: "wigeonstall_read_bytes_total",
        help: "Bytes of the pages that were read of each stream of the store.",
        labelNames: ["stream"],
        registers: [this.registry],
    });
    private readonly unavailableCalls = new Counter({
        name: "wigeonstall_calls_unavailable_total",
        help: "Calls that were answered with unavailable, by reason.",
        labelNames: ["request", "reason"],
        registers: [this.registry],
    });
    private readonly runTimes = new Histogram({
        name: "wigeonstall_run_held_seconds",
        help: "Time from the choice of a worker until the end of the run was read, for which the run holds its CPU.",
        buckets: CALL_BUCKETS_S,
        labelNames: ["outcome"],
        registers: [this.registry],
    });

    private readonly refusals = new Counter({
        name: "wigeonstall_refused_clients_total",
        help: "Clients that were refused, or whose connection was closed, by the port and why.",
        labelNames: ["port", "reason"],
        registers: [this.registry],
    });
    /** The text that is being collected, if any. */
    private nextPage: Promise<Buffer> | undefined;

    private constructor() {
        const registers = [this.registry];
        const callOptions = { registers, buckets: CALL_BUCKETS_S };
        this.calls = new Histogram({
            ...callOptions,
            name: "wigeonstall_call_seconds",
            help: "Time until a caller was answered.",
            labelNames: ["request", "answer"],
        });
        this.storeCalls = new Histogram({
            ...callOptions,
            name: "wigeonstall_store_call_seconds",
            help: "Time that calls to the store took. Reads wait for records.",
            labelNames: ["call", "outcome"],
        });
        this.orders = new Histogram({
            ...callOptions,
            name: "wigeonstall_order_seconds",
            help: "Time that orders to workers took. Lists wait for ends.",
            labelNames: ["order", "outcome"],
        });
        this.orderWaits = new Histogram({
            ...callOptions,
            name: "wigeonstall_order_wait_seconds",
            help: "Time that orders to workers waited for a connection.",
            labelNames: ["order"],
        });
        this.startWaits = new Histogram({
            name: "wigeonstall_start_wait_seconds",
            help: "Time from the acceptance of a job until a worker had started each of its tasks that had to wait for no other.",
            buckets: START_WAIT_BUCKETS_S,
            registers,
        });
        this.decisions = new Counter({
            name: "wigeonstall_decisions_total",
            help: "Decisions by what was decided.",
            labelNames: ["decision", "outcome"],
            registers,
        });
        this.omittedLines = new Counter({
            name: "wigeonstall_log_lines_omitted_total",
            help: "Lines that were left out because the reader of the log was slow.",
            registers,
        });
        this.loopDelays = new Histogram({
            name: "wigeonstall_loop_delay_seconds",
            help: "How late the event loop handled what was due.",
            buckets: LOOP_DELAY_BUCKETS_S,
            registers,
        });
        this.workSeconds = new Counter({
            name: "wigeonstall_work_seconds_total",
            help: "Time that the event loop spent on each kind of work.",
            labelNames: ["kind"],
            registers,
        });
    }

    /** @returns Metrics without observations. */
    static create(): JobMetrics {
        return new JobMetrics();
    }

    /**
     * Adds a gauge whose value is read at each collection.
     * @param name Name of the metric without its prefix.
     * @param help Description.
     * @param value Returns the value.
     */
    addGauge(name: string, help: string, value: () => number): void {
        new Gauge({
            name: `wigeonstall_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(value());
            },
        });
    }

    /** Records a call and its answer. @param durationMs Time until the answer, in ms. */
    recordCall(request: string, answer: string, durationMs: number): void {
        this.calls.observe({ request, answer }, durationMs / MS_PER_SECOND);
    }

    /** Records a call that was answered with `unavailable`. */
    recordUnavailable(request: string, reason: UnavailableReason): void {
        this.unavailableCalls.inc({ request, reason });
    }

    /** Records a call to the store. @param durationMs Duration in ms. */
    recordStoreCall(call: string, outcome: string, durationMs: number): void {
        this.storeCalls.observe({ call, outcome }, durationMs / MS_PER_SECOND);
    }

    /** Records an order to a worker. @param durationMs Duration in ms. */
    recordOrder(order: string, outcome: string, durationMs: number): void {
        this.orders.observe({ order, outcome }, durationMs / MS_PER_SECOND);
    }

    /** Records how long an order waited before it was sent. @param waitMs Time in ms. */
    recordOrderWait(order: string, waitMs: number): void {
        this.orderWaits.observe({ order }, waitMs / MS_PER_SECOND);
    }

    /** Records a decision. */
    recordDecision(name: DecisionName, data: DecisionData): void {
        const outcome = String(data.outcome ?? data.state ?? data.reason ?? "");
        this.decisions.inc({ decision: name, outcome });
        if (name === "run-ended" && typeof data.heldMs === "number") {
            this.runTimes.observe({ outcome }, data.heldMs / MS_PER_SECOND);
        }
        if (name === "shard-load") {
            this.recordShardLoad(data);
        }
        if (name === "lasting-tasks-wait" && typeof data.waiting === "number") {
            const { shard = 0, service = "" } = data;
            this.lastingWaits.set({ shard: String(shard), service: String(service) }, data.waiting);
        }
    }

    /** Records a start that a worker has carried out. */
    recordStart({ waitedMs, place }: Pick<TaskStartedEffect, "waitedMs" | "place">): void {
        if (waitedMs !== undefined) {
            this.startWaits.observe(waitedMs / MS_PER_SECOND);
        }
        if (place !== undefined) {
            this.places.inc({ place: place.kind, reason: place.reason });
            this.placeWaits.observe({ place: place.kind }, place.waitedMs / MS_PER_SECOND);
        }
    }

    private recordShardLoad({ shard = 0, service = "", ...parts }: DecisionData): void {
        for (const [part, value] of Object.entries(parts)) {
            if (part.endsWith(PERCENT_SUFFIX) && typeof value === "number") {
                this.shardLoads.set({ shard: String(shard), service: String(service), part }, value);
            }
        }
    }

    /** Records how late an event was handled. @param delayMs Delay in ms. */
    recordLoopDelay(delayMs: number): void {
        this.loopDelays.observe(delayMs / MS_PER_SECOND);
    }

    /** Records a piece of work. @param durationMs Duration in ms. */
    recordWork(kind: WorkKind, durationMs: number): void {
        this.workSeconds.inc({ kind }, durationMs / MS_PER_SECOND);
    }

    /** Records a garbage collection. @param durationMs Duration in ms. */
    recordCollection(durationMs: number): void {
        this.collectionSeconds.inc(durationMs / MS_PER_SECOND);
    }

    /** Records a request that is sent. @param bytes Size of its body, in bytes. */
    recordSent(kind: RequestKind, bytes: number): void {
        this.sentBytes.inc({ kind }, bytes);
    }

    /** Records a page that was read. @param bytes Size of its body, in bytes. */
    recordRead(stream: StreamName, bytes: number): void {
        this.readBytes.inc({ stream }, bytes);
    }

    /** Records a client that was refused. */
    recordRefusal({ port, reason }: Refusal): void {
        this.refusals.inc({ port, reason });
    }

    /** Records lines omitted from the log. */
    recordOmittedLines(count: number): void {
        this.omittedLines.inc(count);
    }

    /** @returns The metrics in the Prometheus text format. */
    text(): Promise<string> {
        return this.registry.metrics();
    }

    /** @returns The encoded text, which readers that ask at the same time share. */
    page(): Promise<Buffer> {
        this.nextPage ??= this.text().then(text => {
            this.nextPage = undefined;
            return Buffer.from(text);
        });
        return this.nextPage;
    }
}
