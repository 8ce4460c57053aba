import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { WorkerListing } from "../../services/common/instanceList";
import { WorkerReport } from "../../services/common/worker";
import { ColocationHistory } from "./colocationHistory";
import { WorkerClock } from "./workerClock";
import chartText from "./workerContact.chart.yaml";
import { WorkerTrust } from "./workerTrust";

/** State of the contact of a shard's owner with a worker. */
export type ContactState = "uncontacted" | "reachable" | "silent";
type ContactEvent = "reported" | "timed-out" | "epoch-began";
type ContactAction = "storeReport" | "clearReport";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ContactState, ContactEvent, never, ContactAction>(chartText, "workerContact.chart.yaml", {
        states: ["uncontacted", "reachable", "silent"],
        events: ["reported", "timed-out", "epoch-began"],
        guards: [],
        actions: ["storeReport", "clearReport"],
    }),
);

/** Time between two reports of a worker. */
export const REPORT_INTERVAL_MS = 10_000;

/** Time between two reports of a worker that include the usage of its attempts. */
export const USAGE_INTERVAL_MS = 10_000;

/** Minimum time between two reports of a worker that are requested because a task is about to end. */
export const MIN_REPORT_INTERVAL_MS = 1_000;

/** Time without a response after which a worker counts as silent. */
export const SILENCE_TIMEOUT_MS = 22_000;

interface ContactEventData {
    readonly now: number;
    readonly report: WorkerReport | undefined;
}

/** One worker of a shard, as the shard's owner knows it. */
export class WorkerContact {
    private readonly machine: Machine<ContactEventData, ContactState, ContactEvent, never, ContactAction>;
    private latestReport: WorkerReport | undefined;
    private latestClock: WorkerClock | undefined;
    private lastReportAt = Number.NEGATIVE_INFINITY;

    readonly trust = WorkerTrust.create();
    readonly history = ColocationHistory.create();
    /** Number of the call in flight. */
    callInFlight: number | undefined;
    nextCallAt = 0;
    /** Time (ms) from which the next call requests usage. */
    nextUsageAt = 0;
    /** Incarnation in the report before the latest one. */
    previousBoot: string | undefined;

    private constructor(private currentListing: WorkerListing) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                storeReport: data => this.storeReport(data),
                clearReport: () => (this.latestReport = undefined),
            },
        });
    }

    /**
     * @param listing The worker as registered in service discovery.
     * @returns The contact with a worker that has not responded yet.
     */
    static create(listing: WorkerListing): WorkerContact {
        return new WorkerContact(listing);
    }

    /** The worker as registered in service discovery. */
    get listing(): WorkerListing {
        return this.currentListing;
    }

    /** State of the contact. */
    get state(): ContactState {
        return this.machine.state;
    }

    /** Latest report within the epoch. */
    get report(): WorkerReport | undefined {
        return this.latestReport;
    }

    /** The worker's clock as of the latest report, also from an earlier epoch. */
    get clock(): WorkerClock | undefined {
        return this.latestClock;
    }

    /** Updates the worker's registration. @param listing The worker as registered in service discovery. */
    updateListing(listing: WorkerListing): void {
        this.currentListing = listing;
    }

    /** Records a response. @param report The worker's report. @param now Time in ms. */
    recordReport(report: WorkerReport, now: number): void {
        this.machine.fire("reported", { now, report });
    }

    /** Starts a new epoch, in which the worker has not responded yet. @param now Time in ms. */
    beginEpoch(now: number): void {
        this.machine.fire("epoch-began", { now, report: undefined });
        this.callInFlight = undefined;
        this.nextCallAt = now;
    }

    /** Checks the response timeout and the end of an exclusion. @param now Time in ms. */
    tick(now: number): void {
        if (now - this.lastReportAt > SILENCE_TIMEOUT_MS) {
            this.machine.fire("timed-out", { now, report: undefined });
        }
        this.trust.tick(now);
    }

    private storeReport(data: ContactEventData): void {
        const report = data.report!;
        this.previousBoot = this.latestReport?.boot;
        this.latestReport = report;
        this.lastReportAt = data.now;
        this.latestClock = WorkerClock.create(report.boot, report.clock, data.now);
    }
}
