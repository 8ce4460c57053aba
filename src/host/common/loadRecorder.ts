import { MAX_LEADER_DELAY_MS } from "../../dispatch/common/scheduler/dispatchLimits";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { StartLoad } from "../../dispatch/common/runs/startWindow";
import { WorkKind } from "./workKind";

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** The delay is judged by the largest of each half second. */
const DELAY_INTERVAL_MS = 500;

/** Kinds of work that are reported; the others are summed up as `otherMs`. */
const REPORTED_KINDS = {
    pass: "passMs",
    tick: "tickMs",
    "list-answer": "listMs",
    "append-answer": "appendMs",
    "read-answer": "readMs",
    call: "callMs",
    send: "sendMs",
    log: "logMs",
} as const;

type ReportedKind = keyof typeof REPORTED_KINDS;
type WorkField = (typeof REPORTED_KINDS)[ReportedKind] | "otherMs";

/** Fields of the longest time for which an order waited before it was sent. */
const ORDER_FIELDS = {
    start: "startWaitMs",
    stop: "stopWaitMs",
    list: "listWaitMs",
    throttle: "throttleWaitMs",
} as const;

/** Fields of the bytes that were sent: bodies of orders and of appends. Other requests have hardly any. */
const BYTE_FIELDS = { start: "startBytes", list: "listBytes", append: "appendBytes" } as const;

type ByteField = (typeof BYTE_FIELDS)[keyof typeof BYTE_FIELDS];

type OrderKind = keyof typeof ORDER_FIELDS;
type OrderField = (typeof ORDER_FIELDS)[OrderKind];

/** What the process of a loop took, in ms. */
export interface RuntimeUse {
    /** Time for which the loop was not idle; the part that no kind of work has is that of the runtime and its libraries. */
    readonly busyMs: number;
    /** Processor time. Less of it than of busy time shows that the processor was not available. */
    readonly cpuMs: number;
    /** Time spent on garbage collection, also within work. */
    readonly gcMs: number;
}

/** Delay of a loop and what it did, since the last report. All times are in ms. */
export interface LoadReport
    extends Partial<RuntimeUse>, Readonly<Partial<Record<WorkField | OrderField | ByteField, number>>> {
    readonly overMs: number;
    readonly medianMs: number;
    readonly p99Ms: number;
    readonly mostMs: number;
    /** Number of half seconds, and of those with an event that was handled too late. */
    readonly halfSeconds: number;
    readonly lateHalfSeconds: number;
    /** Number of requests that were sent. */
    readonly requests?: number;
    /** Starts in flight at the end, and how many may be; left out if the loop schedules nothing. */
    readonly startsInFlight?: number;
    readonly startWindow?: number;
    /** Median time from the choice of a worker to the answer to the start, of late; left out if none was answered. */
    readonly startMs?: number;
}

/** Collects how late a loop is and how long it spends on each kind of work, for a periodic report. */
export class LoadRecorder {
    private startedAt: number | undefined;
    private delays: number[] = [];
    private readonly mostByInterval = new Map<number, number>();
    private readonly workMs = new Map<WorkKind, number>();
    private readonly orderWaitMs = new Map<OrderKind, number>();
    private readonly sentBytes = new Map<RequestKind, number>();
    private sentCount = 0;

    private constructor() {}

    /** @returns A recorder without a record. */
    static create(): LoadRecorder {
        return new LoadRecorder();
    }

    /** Records how late an event was handled. @param ms Delay in ms. @param now Time in ms. */
    recordDelay(ms: number, now: number): void {
        this.startedAt ??= now;
        this.delays.push(ms);
        const interval = Math.floor((now - this.startedAt) / DELAY_INTERVAL_MS);
        this.mostByInterval.set(interval, Math.max(ms, this.mostByInterval.get(interval) ?? 0));
    }

    /** Records a piece of work. @param ms Its duration in ms. */
    recordWork(kind: WorkKind, ms: number): void {
        this.workMs.set(kind, (this.workMs.get(kind) ?? 0) + ms);
    }

    /** Records how long an order waited before it was sent. @param ms Time in ms. */
    recordOrderWait(order: OrderKind, ms: number): void {
        this.orderWaitMs.set(order, Math.max(ms, this.orderWaitMs.get(order) ?? 0));
    }

    /** Records a request that is sent. @param bytes Size of its body, in bytes. */
    recordSent(kind: RequestKind, bytes: number): void {
        this.sentCount += 1;
        this.sentBytes.set(kind, (this.sentBytes.get(kind) ?? 0) + bytes);
    }

    /**
     * @param now Time in ms.
     * @param starts The starts in flight, if the loop schedules.
     * @param takeUse Returns what the process took since it was last called.
     * @returns The report if one is due; the next one begins with it.
     */
    takeReport(now: number, starts?: StartLoad, takeUse?: () => RuntimeUse): LoadReport | undefined {
        if (this.startedAt === undefined || now - this.startedAt < REPORT_INTERVAL_MS) {
            return undefined;
        }
        const delays = this.delays.sort((a, b) => a - b);
        const quantile = (ratio: number) => Math.round(delays[Math.floor((delays.length - 1) * ratio)]);
        const report = {
            overMs: Math.round(now - this.startedAt),
            medianMs: quantile(0.5),
            p99Ms: quantile(0.99),
            mostMs: quantile(1),
            halfSeconds: this.mostByInterval.size,
            lateHalfSeconds: [...this.mostByInterval.values()].filter(ms => ms > MAX_LEADER_DELAY_MS).length,
            ...(takeUse === undefined ? {} : roundedUse(takeUse())),
            ...this.workFields(),
            ...this.orderFields(),
            ...this.byteFields(),
            ...startFields(starts),
        };
        this.reset();
        return report;
    }

    /** Forgets what was recorded. */
    reset(): void {
        this.startedAt = undefined;
        this.delays = [];
        this.mostByInterval.clear();
        this.workMs.clear();
        this.orderWaitMs.clear();
        this.sentBytes.clear();
        this.sentCount = 0;
    }

    private workFields(): Partial<Record<WorkField, number>> {
        const fields: Partial<Record<WorkField, number>> = {};
        for (const [kind, ms] of this.workMs) {
            const field = kind in REPORTED_KINDS ? REPORTED_KINDS[kind as ReportedKind] : "otherMs";
            fields[field] = Math.round((fields[field] ?? 0) + ms);
        }
        return fields;
    }

    private byteFields(): Partial<Record<ByteField | "requests", number>> {
        const fields: Partial<Record<ByteField | "requests", number>> =
            this.sentCount === 0 ? {} : { requests: this.sentCount };
        for (const [kind, bytes] of this.sentBytes) {
            if (kind in BYTE_FIELDS) {
                fields[BYTE_FIELDS[kind as keyof typeof BYTE_FIELDS]] = bytes;
            }
        }
        return fields;
    }

    private orderFields(): Partial<Record<OrderField, number>> {
        return Object.fromEntries([...this.orderWaitMs].map(([order, ms]) => [ORDER_FIELDS[order], Math.round(ms)]));
    }
}

function roundedUse({ busyMs, cpuMs, gcMs }: RuntimeUse): RuntimeUse {
    return { busyMs: Math.round(busyMs), cpuMs: Math.round(cpuMs), gcMs: Math.round(gcMs) };
}

function startFields(starts: StartLoad | undefined): Partial<LoadReport> {
    if (starts === undefined) {
        return {};
    }
    const { inFlight: startsInFlight, window: startWindow, tookMs } = starts;
    return { startsInFlight, startWindow, ...(tookMs === undefined ? {} : { startMs: Math.round(tookMs) }) };
}
