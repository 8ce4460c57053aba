import { EffectSink } from "../../base/common/effectSink";
import { withDrift } from "../../coordination/common/duration";
import { QueueTable } from "../../jobs/common/queueTable";
import { START_VALIDITY_MS } from "./dispatchLimits";
import { DecisionEffect } from "./dispatchEffects";
import { WorkerContact } from "./workerContact";

/** Time after which a shrink of a worker's capacity counts, in ms: `stableWindowMs` and one heartbeat. */
const SHRINK_GRACE_MS = 4_000 + 1_500;

/**
 * Age up to which a worker's entry shows its capacity, in ms. A start may be executed as late as its validity allows, and
 * by then no shrink after the entry may count.
 */
export const MAX_ENTRY_AGE_MS = SHRINK_GRACE_MS - withDrift(START_VALIDITY_MS);

/** Minimum interval between log lines about workers whose capacity is not known, in ms. */
const LOG_INTERVAL_MS = 5_000;

/** Why the start of a run is not sent. `capacity-unknown`: the entry is too old to show what the worker can hold. */
export type WithholdReason = "unreachable" | "capacity-unknown";

/**
 * Decides whether the leader's view of a worker is recent enough to start a task there.
 *
 * A worker with overload protection rejects what exceeds its capacity. Any other starts whatever it is told to, and its
 * capacity may shrink at any time, so it is given tasks only while its entry is recent.
 */
export class StartAdmission {
    private lastLoggedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly queues: QueueTable,
        private readonly effects: EffectSink<DecisionEffect>,
    ) {}

    /** @param queues Services as configured. @param effects Sink for log lines. @returns The admission. */
    static create(queues: QueueTable, effects: EffectSink<DecisionEffect>): StartAdmission {
        return new StartAdmission(queues, effects);
    }

    /** @param workers All workers. @param now Time in ms. @returns Those that may be given tasks. */
    usableWorkers(workers: Iterable<WorkerContact>, now: number): WorkerContact[] {
        const usable = [...workers].filter(each => each.isUsable(now));
        const known = usable.filter(each => this.isCapacityKnown(each, now));
        if (known.length < usable.length && now - this.lastLoggedAt >= LOG_INTERVAL_MS) {
            this.lastLoggedAt = now;
            const ages = usable.map(each => each.entryAgeMs(now)).filter(age => age !== undefined);
            const data = {
                workers: usable.length - known.length,
                of: usable.length,
                oldestMs: round(Math.max(...ages)),
            };
            this.effects.emit({ kind: "decision", name: "capacity-unknown", data });
        }
        return known;
    }

    /**
     * @param worker Worker of a run whose assignment is stored, if it is known.
     * @param now Time in ms.
     * @returns Why the start of the run may not be sent, or `undefined` if it may.
     */
    reasonToWithhold(worker: WorkerContact | undefined, now: number): WithholdReason | undefined {
        if (worker?.state !== "reachable") {
            return "unreachable";
        }
        return this.isCapacityKnown(worker, now) ? undefined : "capacity-unknown";
    }

    private isCapacityKnown(worker: WorkerContact, now: number): boolean {
        const isGuarded = this.queues.service(worker.entry.service)?.rejectsOverload === true;
        return isGuarded || (worker.entryAgeMs(now) ?? Number.POSITIVE_INFINITY) <= MAX_ENTRY_AGE_MS;
    }
}

/** @returns A duration in whole ms, or `undefined` if there is none. */
function round(ms: number): number | undefined {
    return Number.isFinite(ms) ? Math.round(ms) : undefined;
}
