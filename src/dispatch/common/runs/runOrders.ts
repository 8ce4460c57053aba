import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { Run } from "./run";
import { SchedulerContext } from "../scheduler/schedulerContext";
import { StartAdmission } from "./startAdmission";
import { firstWaitMs } from "../jobs/task";
import { ViewController } from "../scheduler/viewController";
import { WorkerContact } from "../workers/workerContact";
import { WorkerPool } from "../workers/workerPool";

/** Sends the orders to start and to stop runs during one leader's epoch. */
export class RunOrders {
    private constructor(
        private readonly context: SchedulerContext,
        private readonly epoch: number,
        private readonly pool: WorkerPool,
        private readonly admission: StartAdmission,
        private readonly views: ViewController,
    ) {}

    /**
     * @param context Dependencies of the scheduler.
     * @param epoch Epoch of the leader, which the orders carry.
     * @param pool The workers.
     * @param admission Decides whether a worker may still be given a run.
     * @param views Knows how old the views are on which the leader decides.
     * @returns What sends the orders.
     */
    static create(
        context: SchedulerContext,
        epoch: number,
        pool: WorkerPool,
        admission: StartAdmission,
        views: ViewController,
    ): RunOrders {
        return new RunOrders(context, epoch, pool, admission, views);
    }

    /**
     * Sends the order to start a run, or ends the run if its worker may not be given it any more.
     * @param run The run.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    sendStart(run: Run, now: number, wallNow: number): void {
        const worker = this.pool.find(run.record.worker);
        const { task, checkpoint, run: number } = run.record;
        const entryAgeMs = worker?.entryAgeMs(now);
        const reason = this.admission.reasonToWithhold(run, now);
        const validUntil = reason === undefined ? this.extendLeaseForStart(worker, now) : undefined;
        if (worker === undefined || validUntil === undefined) {
            this.logDecision("start-withheld", { task, run: number, worker: run.record.worker, reason, entryAgeMs });
            run.fire("not-started", { now });
            return;
        }
        const order = {
            task,
            run: number,
            payload: run.task.job.spec.payload,
            validUntil,
            fence: this.context.leadership.fence,
            checkpoint,
            ticket: run.ticket,
            provingClockMs: worker.provingClockMs(now),
        };
        this.context.effects.emit({ kind: "start", worker: worker.entry, order });
        const { id, rack } = worker.entry;
        this.logDecision("run-started", {
            task,
            run: number,
            worker: id,
            epoch: this.epoch,
            rack,
            waitedMs: firstWaitMs(run.task, wallNow),
            ...placeFields(run),
            storedMs: Math.round(now - run.assignedAt),
            entryAgeMs,
            ...this.views.ageFields(now),
        });
    }

    /** Reports that a worker has carried out the order to start a run. @param wallNow Time in ms since the Unix epoch. */
    reportStart({ task, place, isInherited }: Run, wallNow: number): void {
        if (!isInherited) {
            this.context.effects.emit({ kind: "task-started", waitedMs: firstWaitMs(task, wallNow), place });
        }
    }

    /** Sends the order to stop a run. */
    sendStop(run: Run): void {
        const worker = this.pool.find(run.record.worker);
        if (worker !== undefined && worker.entry.address !== "") {
            const { task, run: number } = run.record;
            const order = { task, run: number, fence: this.context.leadership.fence };
            this.context.effects.emit({ kind: "stop", worker: worker.entry, order });
        }
    }

    private extendLeaseForStart(worker: WorkerContact | undefined, now: number): number | undefined {
        return worker?.extendLeaseTo(worker.clockReadingIn(this.views.startValidityMs(now), now));
    }

    private logDecision(name: DecisionName, data: DecisionData): void {
        this.context.effects.emit({ kind: "decision", name, data });
    }
}

/** @returns Where a run was placed and why, as fields of its log line; none if its place does not matter. */
function placeFields({ place }: Run): DecisionData {
    return place === undefined ? {} : { place: place.kind, placeReason: place.reason, placeWaitMs: place.waitedMs };
}
