import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { WorkerListing } from "../../services/common/instanceList";
import { WorkerReport } from "../../services/common/worker";
import { ColocationHistory } from "./colocationHistory";
import { WorkerClock } from "./workerClock";
import chartText from "./workerContact.chart.yaml";
import { WorkerTrust } from "./workerTrust";

/** Contact of a shard's owner with a worker. */
export type ContactState = "unmet" | "met" | "silent";
type ContactEvent = "answered" | "overdue" | "restart";
type ContactAction = "takeReport" | "forget";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ContactState, ContactEvent, never, ContactAction>(chartText, "workerContact.chart.yaml", {
        states: ["unmet", "met", "silent"],
        events: ["answered", "overdue", "restart"],
        guards: [],
        actions: ["takeReport", "forget"],
    }),
);

/** Time between two reports of a worker. */
export const REPORT_INTERVAL_MS = 10_000;

/** Time between two reports of a worker that say what its attempts use. */
export const USAGE_INTERVAL_MS = 10_000;

/** Shortest time between two reports of a worker that are asked for because a task is about to end. */
export const MIN_REPORT_INTERVAL_MS = 1_000;

/** Time without an answer after which a worker counts as silent. */
export const SILENCE_MS = 22_000;

interface Answer {
    readonly now: number;
    readonly report: WorkerReport | undefined;
}

/** One worker of a shard, as the shard's owner knows it. */
export class WorkerLink {
    private readonly machine: Machine<Answer, ContactState, ContactEvent, never, ContactAction>;
    private latest: WorkerReport | undefined;
    private knownClock: WorkerClock | undefined;
    private answeredAt = Number.NEGATIVE_INFINITY;

    readonly trust = WorkerTrust.create();
    readonly history = ColocationHistory.create();
    /** Number of the call that is on its way. */
    outstanding: number | undefined;
    nextCallAt = 0;
    /** Time (ms) from which usage is asked for again. */
    nextUsageAt = 0;
    /** Boot of the report before the latest one. */
    previousBoot: string | undefined;

    private constructor(private listed: WorkerListing) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                takeReport: answer => this.takeReport(answer),
                forget: () => (this.latest = undefined),
            },
        });
    }

    /** @param listing The worker as the platform lists it. @returns A link without contact. */
    static create(listing: WorkerListing): WorkerLink {
        return new WorkerLink(listing);
    }

    /** The worker as the platform lists it. */
    get listing(): WorkerListing {
        return this.listed;
    }

    /** Contact with the worker. */
    get contact(): ContactState {
        return this.machine.state;
    }

    /** Latest report within the epoch. */
    get report(): WorkerReport | undefined {
        return this.latest;
    }

    /** The worker's clock as of the latest report within the epoch. */
    get clock(): WorkerClock | undefined {
        return this.knownClock;
    }

    /** Takes in a change of the platform's list. */
    relist(listing: WorkerListing): void {
        this.listed = listing;
    }

    /** Notes an answer. @param report The worker's report. @param now Time in ms. */
    answered(report: WorkerReport, now: number): void {
        this.machine.fire("answered", { now, report });
    }

    /** Begins a new epoch, in which the worker has not answered yet. */
    restart(now: number): void {
        this.machine.fire("restart", { now, report: undefined });
        this.outstanding = undefined;
        this.nextCallAt = now;
    }

    /** Acts on the passing of time. @param now Time in ms. */
    tick(now: number): void {
        if (now - this.answeredAt > SILENCE_MS) {
            this.machine.fire("overdue", { now, report: undefined });
        }
        this.trust.tick(now);
    }

    private takeReport(answer: Answer): void {
        const report = answer.report!;
        this.previousBoot = this.latest?.boot;
        this.latest = report;
        this.answeredAt = answer.now;
        this.knownClock = WorkerClock.create(report.boot, report.clock, answer.now);
    }
}
