import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./workerTrust.chart.yaml";

/** Whether a worker is given tasks. */
export type TrustState = "trusted" | "excluded" | "trial";
type TrustEvent = "task-failed" | "task-done" | "trial-due";
type TrustGuard = "isSuspicious" | "isTelling";
type TrustAction = "suspect" | "exclude" | "clear";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<TrustState, TrustEvent, TrustGuard, TrustAction>(chartText, "workerTrust.chart.yaml", {
        states: ["trusted", "excluded", "trial"],
        events: ["task-failed", "task-done", "trial-due"],
        guards: ["isSuspicious", "isTelling"],
        actions: ["suspect", "exclude", "clear"],
    }),
);

/** Suspicion at which a worker is taken out; a failure of a task whose family never fails adds 1. */
const EXCLUSION_SUSPICION = 2.5;

/** Weight from which one failure tells something of the worker rather than of the task. */
const TELLING_WEIGHT = 0.5;

/** Shortest and longest time before an excluded worker is tried again. */
const MIN_EXCLUSION_MS = 30_000;
const MAX_EXCLUSION_MS = 600_000;

/** How long a worker is excluded. Each further exclusion without a success is twice as long. */
export interface ExclusionTerms {
    readonly shortestMs: number;
    readonly longestMs: number;
}

const DEFAULT_TERMS: ExclusionTerms = { shortestMs: MIN_EXCLUSION_MS, longestMs: MAX_EXCLUSION_MS };

/** A failure with the share of its family's attempts that fail anywhere. */
export interface TrustEvidence {
    readonly now: number;
    readonly familyFailureRate: number;
}

/** Tells a worker that fails everything from tasks that fail everywhere. */
export class WorkerTrust {
    private readonly machine: Machine<TrustEvidence, TrustState, TrustEvent, TrustGuard, TrustAction>;
    private suspicion = 0;
    private exclusions = 0;
    private trialAt = 0;

    private constructor(private readonly terms: ExclusionTerms) {
        this.machine = Machine.create(chart, {
            guards: {
                isTelling: evidence => weight(evidence) >= TELLING_WEIGHT,
                isSuspicious: evidence => this.suspicion + weight(evidence) >= EXCLUSION_SUSPICION,
            },
            actions: {
                suspect: evidence => (this.suspicion += weight(evidence)),
                exclude: evidence => this.exclude(evidence.now),
                clear: () => this.clear(),
            },
        });
    }

    /** @param terms How long it is excluded. @returns The trust in a worker that has done nothing yet. */
    static create(terms: ExclusionTerms = DEFAULT_TERMS): WorkerTrust {
        return new WorkerTrust(terms);
    }

    /** Whether the worker is given tasks. */
    get state(): TrustState {
        return this.machine.state;
    }

    /** Notes that a task failed on the worker. */
    failed(evidence: TrustEvidence): void {
        this.machine.fire("task-failed", evidence);
    }

    /** Notes that a task ended well on the worker. */
    done(now: number): void {
        this.machine.fire("task-done", { now, familyFailureRate: 0 });
    }

    /** Acts on the passing of time. @param now Time in ms. */
    tick(now: number): void {
        if (now >= this.trialAt) {
            this.machine.fire("trial-due", { now, familyFailureRate: 0 });
        }
    }

    private exclude(now: number): void {
        this.trialAt = now + Math.min(this.terms.longestMs, this.terms.shortestMs * 2 ** this.exclusions);
        this.exclusions += 1;
    }

    private clear(): void {
        this.suspicion = 0;
        this.exclusions = 0;
    }
}

function weight(evidence: TrustEvidence): number {
    return 1 - evidence.familyFailureRate;
}
