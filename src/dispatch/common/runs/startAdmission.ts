import { EffectSink } from "../../../base/common/effectSink";
import { withDrift } from "../../../coordination/common/duration";
import { QueueTable } from "../../../jobs/common/queueTable";
import { START_VALIDITY_MS } from "../scheduler/dispatchLimits";
import { DecisionEffect } from "../scheduler/dispatchEffects";
import { EvacuationTable } from "../workers/evacuationTable";
import { Run } from "./run";
import { ExclusionCause, WorkerCensus, WorkerCounts } from "../workers/workerCensus";
import { WorkerContact } from "../workers/workerContact";

/** Time after which a shrink of a worker's capacity counts, in ms: `stableWindowMs` and one heartbeat. */
const SHRINK_GRACE_MS = 4_000 + 1_500;

/**
 * Age up to which a worker's entry shows its capacity, in ms. A start may be executed as late as its validity allows, and
 * by then no shrink after the entry may count.
 */
export const MAX_ENTRY_AGE_MS = SHRINK_GRACE_MS - withDrift(START_VALIDITY_MS);

/** Minimum interval between log lines about workers whose capacity is not known, in ms. */
const LOG_INTERVAL_MS = 5_000;

/**
 * Why the start of a run is not sent. `not-ready`: the worker drains, has left, or has restarted and may be of another kind.
 * `evacuated`: the operator has requested that nothing be sent to its failure domain. `other-service`: the configuration has sent the queue to another service since the worker was chosen.
 * `shrunk`: its runs exceed its capacity. `capacity-unknown`: its entry is too old to show what it can hold, or it has runs of
 * unknown size. `lease-recorded`: a record still says that its lease is not extended. `gang`: one of these holds for another
 * member.
 */
export type WithholdReason =
    | "unreachable"
    | "lease-recorded"
    | "not-ready"
    | "evacuated"
    | "other-service"
    | "shrunk"
    | "capacity-unknown"
    | "gang";

/** Returns a worker by its identifier, if it is known. */
export type FindWorker = (id: string) => WorkerContact | undefined;

/**
 * Decides whether the leader's view of a worker is recent enough to start a task there.
 *
 * A worker with overload protection rejects what exceeds its capacity. Any other starts whatever it is told to, and its
 * capacity may shrink at any time, so it is given tasks only while its entry is recent.
 */
export class StartAdmission {
    private lastLoggedAt = Number.NEGATIVE_INFINITY;
    private readonly census = WorkerCensus.create();

    private constructor(
        private readonly queues: QueueTable,
        private readonly evacuations: EvacuationTable,
        private readonly find: FindWorker,
        private readonly effects: EffectSink<DecisionEffect>,
    ) {}

    /**
     * @param queues Services as configured.
     * @param evacuations Failure domains to whose workers nothing is sent.
     * @param find Finds the worker of a run.
     * @param effects Sink for log lines.
     * @returns The admission.
     */
    static create(
        queues: QueueTable,
        evacuations: EvacuationTable,
        find: FindWorker,
        effects: EffectSink<DecisionEffect>,
    ): StartAdmission {
        return new StartAdmission(queues, evacuations, find, effects);
    }

    /** Workers of the latest pass, by why they were left out. */
    get latestCounts(): WorkerCounts {
        return this.census.latest;
    }

    /** @param workers All workers. @param now Time in ms. @returns Those that may be given tasks. */
    usableWorkers(workers: Iterable<WorkerContact>, now: number): WorkerContact[] {
        const usable: WorkerContact[] = [];
        const unknown: WorkerContact[] = [];
        this.census.beginPass();
        for (const worker of workers) {
            const cause = this.exclusionCause(worker, now);
            const isKnown = cause !== undefined || this.isCapacityKnown(worker, now);
            this.census.count(isKnown ? cause : "capacityUnknown");
            if (cause === undefined) {
                (isKnown ? usable : unknown).push(worker);
            }
        }
        this.logCensus(now);
        this.logUnknown(unknown, usable, now);
        return usable;
    }

    private exclusionCause(worker: WorkerContact, now: number): ExclusionCause | undefined {
        const isEvacuated = worker.isRegistered && this.evacuations.includes(worker.entry);
        return isEvacuated ? "evacuated" : worker.exclusionCause(now);
    }

    /** @param worker A worker. @param now Time in ms. @returns Whether it may be given tasks. */
    isUsable(worker: WorkerContact, now: number): boolean {
        return this.exclusionCause(worker, now) === undefined && this.isCapacityKnown(worker, now);
    }

    private logCensus(now: number): void {
        const data = this.census.takeReport(now);
        if (data !== undefined) {
            this.effects.emit({ kind: "decision", name: "workers-left-out", data });
        }
    }

    private logUnknown(unknown: readonly WorkerContact[], usable: readonly WorkerContact[], now: number): void {
        if (unknown.length === 0 || now - this.lastLoggedAt < LOG_INTERVAL_MS) {
            return;
        }
        this.lastLoggedAt = now;
        const all = [...unknown, ...usable];
        const ages = all.map(each => each.entryAgeMs(now)).filter(age => age !== undefined);
        const oldestMs = ages.length === 0 ? undefined : Math.max(...ages);
        const data = { workers: unknown.length, of: all.length, oldestMs };
        this.effects.emit({ kind: "decision", name: "capacity-unknown", data });
    }

    /**
     * @param run A run whose assignment is stored. It may have waited for an outage of the store to end, and its worker may
     * have changed meanwhile.
     * @param now Time in ms.
     * @returns Why its start may not be sent, or `undefined` if it may. A gang starts as a whole.
     */
    reasonToWithhold(run: Run, now: number): WithholdReason | undefined {
        const reason = this.reasonOf(run, now);
        const { job, step } = run.task;
        if (reason !== undefined || step.mode !== "gang") {
            return reason;
        }
        const isWithheld = (other: Run | undefined) => other?.state === "assigned" && this.reasonOf(other, now);
        return job.groupOf(run.task).tasks.some(each => isWithheld(each.run)) ? "gang" : undefined;
    }

    private reasonOf(run: Run, now: number): WithholdReason | undefined {
        const worker = this.find(run.record.worker);
        if (worker?.state !== "reachable") {
            return "unreachable";
        }
        if (!worker.mayExtendLease) {
            return "lease-recorded";
        }
        if (!worker.isRegistered || !worker.isReady || !worker.hasLabel(run.task.step.requiredLabel)) {
            return "not-ready";
        }
        if (this.evacuations.includes(worker.entry)) {
            return "evacuated";
        }
        if (worker.entry.service !== this.queues.latestSettings(run.task.job.spec.queue).service) {
            return "other-service";
        }
        if (worker.isOvercommitted) {
            return "shrunk";
        }
        return this.isCapacityKnown(worker, now) ? undefined : "capacity-unknown";
    }

    private isCapacityKnown(worker: WorkerContact, now: number): boolean {
        const isGuarded = this.queues.service(worker.entry.service)?.rejectsOverload === true;
        return (
            isGuarded ||
            (!worker.hasUnknownRuns && (worker.entryAgeMs(now) ?? Number.POSITIVE_INFINITY) <= MAX_ENTRY_AGE_MS)
        );
    }
}
