import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./workerTrust.chart.yaml";

/** Whether tasks are placed on a worker. `trial`: one task at a time. */
export type TrustState = "trusted" | "excluded" | "trial";
type TrustEvent = "task-failed" | "task-done" | "trial-due";
type TrustGuard = "isSuspicious" | "isSignificant";
type TrustAction = "addSuspicion" | "exclude" | "reset";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<TrustState, TrustEvent, TrustGuard, TrustAction>(chartText, "workerTrust.chart.yaml", {
        states: ["trusted", "excluded", "trial"],
        events: ["task-failed", "task-done", "trial-due"],
        guards: ["isSuspicious", "isSignificant"],
        actions: ["addSuspicion", "exclude", "reset"],
    }),
);

/** Suspicion from which a worker is excluded; a failure of a task whose family never fails adds 1. */
const EXCLUSION_THRESHOLD = 2.5;

/** Weight from which a single failure during a trial is attributed to the worker rather than to the task. */
const MIN_SIGNIFICANT_WEIGHT = 0.5;

/** Bounds of the time before an excluded worker is tried again. */
const MIN_EXCLUSION_MS = 30_000;
const MAX_EXCLUSION_MS = 600_000;

/** Duration of exclusions: it doubles with each exclusion since the last success, between these bounds. */
export interface ExclusionBounds {
    readonly minMs: number;
    readonly maxMs: number;
}

const DEFAULT_BOUNDS: ExclusionBounds = { minMs: MIN_EXCLUSION_MS, maxMs: MAX_EXCLUSION_MS };

/** Data of an event: its time, and the failure rate of the task's family over all workers. */
export interface TrustEventData {
    readonly now: number;
    readonly familyFailureRate: number;
}

/** Distinguishes a worker that fails tasks from tasks that fail on every worker. */
export class WorkerTrust {
    private readonly machine: Machine<TrustEventData, TrustState, TrustEvent, TrustGuard, TrustAction>;
    private suspicion = 0;
    private exclusions = 0;
    private trialAt = 0;

    private constructor(private readonly bounds: ExclusionBounds) {
        this.machine = Machine.create(chart, {
            guards: {
                isSignificant: data => failureWeight(data) >= MIN_SIGNIFICANT_WEIGHT,
                isSuspicious: data => this.suspicion + failureWeight(data) >= EXCLUSION_THRESHOLD,
            },
            actions: {
                addSuspicion: data => (this.suspicion += failureWeight(data)),
                exclude: data => this.exclude(data.now),
                reset: () => this.reset(),
            },
        });
    }

    /** @param bounds Duration of exclusions. @returns The trust in a worker without results so far. */
    static create(bounds: ExclusionBounds = DEFAULT_BOUNDS): WorkerTrust {
        return new WorkerTrust(bounds);
    }

    /** Whether tasks are placed on the worker. */
    get state(): TrustState {
        return this.machine.state;
    }

    /** Records that a task failed on the worker. @param data Time and failure rate of the task's family. */
    recordFailure(data: TrustEventData): void {
        this.machine.fire("task-failed", data);
    }

    /** Records that a task succeeded on the worker. @param now Time in ms. */
    recordSuccess(now: number): void {
        this.machine.fire("task-done", { now, familyFailureRate: 0 });
    }

    /** Starts the trial of an excluded worker once it is due. @param now Time in ms. */
    tick(now: number): void {
        if (now >= this.trialAt) {
            this.machine.fire("trial-due", { now, familyFailureRate: 0 });
        }
    }

    private exclude(now: number): void {
        this.trialAt = now + Math.min(this.bounds.maxMs, this.bounds.minMs * 2 ** this.exclusions);
        this.exclusions += 1;
    }

    private reset(): void {
        this.suspicion = 0;
        this.exclusions = 0;
    }
}

function failureWeight(data: TrustEventData): number {
    return 1 - data.familyFailureRate;
}
