import { PageTransfer, StreamName } from "../../records/common/recordStore";

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;

const KINDS = ["jobs", "operator", "workers", "progress"] as const;

type StreamKind = (typeof KINDS)[number];

/** Bytes of the pages that were read of each kind of stream since the last report, and the longest transfer. Times are in ms. */
export interface ReadReport extends Readonly<Partial<Record<`${StreamKind}Bytes`, number>>> {
    readonly overMs: number;
    readonly reads: number;
    readonly slowest: StreamKind;
    readonly slowestMs: number;
}

/** Collects what was read of each stream, for a periodic report. */
export class ReadRecorder {
    private startedAt: number | undefined;
    private readonly bytes = new Map<StreamKind, number>();
    private readCount = 0;
    private slowest: StreamKind = "jobs";
    private slowestMs = 0;

    private constructor() {}

    /** @returns A recorder without a record. */
    static create(): ReadRecorder {
        return new ReadRecorder();
    }

    /** Records a page that was read. @param transfer How it travelled. */
    record(stream: StreamName, { bytes, durationMs }: PageTransfer): void {
        const kind = KINDS.find(each => stream.startsWith(each))!;
        this.readCount += 1;
        this.bytes.set(kind, (this.bytes.get(kind) ?? 0) + bytes);
        if (durationMs > this.slowestMs) {
            this.slowest = kind;
            this.slowestMs = durationMs;
        }
    }

    /** @param now Time in ms. @returns The report if one is due; the next one begins with it. */
    takeReport(now: number): ReadReport | undefined {
        this.startedAt ??= now;
        if (now - this.startedAt < REPORT_INTERVAL_MS) {
            return undefined;
        }
        const bytesByKind = Object.fromEntries([...this.bytes].map(([kind, bytes]) => [`${kind}Bytes`, bytes]));
        const { readCount: reads, slowest } = this;
        const overMs = Math.round(now - this.startedAt);
        const report = { overMs, reads, ...bytesByKind, slowest, slowestMs: Math.round(this.slowestMs) };
        this.startedAt = now;
        this.bytes.clear();
        this.readCount = 0;
        this.slowestMs = 0;
        return report;
    }
}
