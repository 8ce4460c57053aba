import { Refusal } from "./ingressGuard";
import { RefusalReason } from "./refusalReason";

/** Shortest time between two reports of one port and reason, in ms. */
const REPORT_INTERVAL_MS = 10_000;

/** How many clients were refused for one reason. */
export interface RefusalCount {
    readonly port: string;
    readonly reason: RefusalReason;
    /** Since the former report. */
    readonly count: number;
}

interface Tally {
    readonly refusal: Refusal;
    count: number;
    reportedAt: number;
}

/** Collects refusals into a bounded number of reports: the first of a reason at once, then one in ten seconds. */
export class RefusalReport {
    private readonly tallies = new Map<string, Tally>();

    private constructor() {}

    /** @returns A report without refusals. */
    static create(): RefusalReport {
        return new RefusalReport();
    }

    /** Records a refusal. */
    record(refusal: Refusal): void {
        const key = `${refusal.port} ${refusal.reason}`;
        const tally = this.tallies.get(key) ?? { refusal, count: 0, reportedAt: Number.NEGATIVE_INFINITY };
        tally.count += 1;
        this.tallies.set(key, tally);
    }

    /** @param now Time in ms. @returns The reports that are due. */
    take(now: number): RefusalCount[] {
        const due = [...this.tallies.values()].filter(
            ({ count, reportedAt }) => count > 0 && now - reportedAt >= REPORT_INTERVAL_MS,
        );
        return due.map(tally => {
            const { count, refusal } = tally;
            tally.count = 0;
            tally.reportedAt = now;
            return { ...refusal, count };
        });
    }
}
