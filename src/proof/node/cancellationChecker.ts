import { LeasedWorker } from "../../standin/common/leasedWorker";
import { LIMITS } from "./jobTrialPlan";
import { OrderSenders } from "./orderSenders";
import { TrialSchedule } from "./trialSchedule";

/** Time without disruption after which none is near any more, in ms. */
const STABLE_WINDOW_MS = 4_000;

/** Time after the acknowledgement of a cancellation within which the runs of its job end, in ms. */
const END_WITHIN_MS = LIMITS.cancelMs + LIMITS.stopMs;

/** A run of a cancelled job, or of one that is not cancelled yet. */
interface ObservedRun {
    readonly task: string;
    readonly run: number;
    readonly worker: LeasedWorker;
    readonly startedAt: number;
}

/** Checks that the tasks of a cancelled job neither start nor run on for too long after its acknowledgement. */
export class CancellationChecker {
    /** Time (ms) of the first acknowledgement, by job. */
    private readonly cancelledAt = new Map<string, number>();
    private readonly activeRuns = new Map<string, Set<ObservedRun>>();
    private readonly senders: OrderSenders;
    /** Time (ms) from which no disruption is near. */
    private calmFrom = 0;

    private constructor(
        private readonly schedule: TrialSchedule,
        private readonly report: (detail: string) => void,
    ) {
        this.senders = OrderSenders.create(schedule);
    }

    /** @param schedule Clock of the trial. @param report Receives violations. @returns A checker without observations. */
    static create(schedule: TrialSchedule, report: (detail: string) => void): CancellationChecker {
        return new CancellationChecker(schedule, report);
    }

    /** Number of jobs of which a cancellation was acknowledged. */
    get count(): number {
        return this.cancelledAt.size;
    }

    /** @param id A job. @returns Whether a cancellation of it was acknowledged. */
    isCancelled(id: string): boolean {
        return this.cancelledAt.has(id);
    }

    /** Records that a caller received the acknowledgement of a cancellation. @param id The job. */
    recordAcknowledgement(id: string): void {
        if (!this.cancelledAt.has(id)) {
            this.cancelledAt.set(id, this.schedule.now);
            this.reviewRuns(id);
        }
    }

    /**
     * Records a disruption of instances, the store, workers or links.
     * @param durationMs How long it lasts, in ms.
     * @param instances Numbers of the instances that are not in touch for its duration and the stable window.
     */
    recordDisruption(durationMs: number, instances: readonly number[]): void {
        this.calmFrom = Math.max(this.calmFrom, this.senders.recordDisruption(durationMs, instances));
    }

    /** Records that an instance sends an order to start. @param sender Number of the instance. */
    recordOrder(task: string, run: number, sender: number): void {
        this.senders.recordOrder(task, run, sender);
    }

    /** Handles the start of a run. */
    onStart(worker: LeasedWorker, task: string, run: number): void {
        const id = jobIdOf(task);
        const { now } = this.schedule;
        const runs = this.activeRuns.get(id) ?? new Set();
        runs.add({ task, run, worker, startedAt: now });
        this.activeRuns.set(id, runs);
        const cancelledAt = this.cancelledAt.get(id);
        if (cancelledAt === undefined) {
            return;
        }
        const sender = this.senders.senderInTouch(task, run);
        if (sender !== undefined && now > cancelledAt + LIMITS.cancelMs) {
            const ageMs = Math.round(now - cancelledAt);
            this.report(`${task} run ${run} is started by n${sender} ${ageMs} ms after the job's cancellation`);
        }
        this.reviewRuns(id);
    }

    /** Handles the end of a run. */
    onEnd(worker: LeasedWorker, task: string, run: number): void {
        const runs = this.activeRuns.get(jobIdOf(task));
        for (const each of runs ?? []) {
            if (each.worker === worker && each.task === task && each.run === run) {
                runs!.delete(each);
            }
        }
    }

    /** Checks the active runs of a cancelled job, now and as soon as one of them must have ended. */
    private reviewRuns(id: string): void {
        for (const run of [...(this.activeRuns.get(id) ?? [])]) {
            const dueAt = this.endDueAt(id, run);
            if (this.schedule.now <= dueAt) {
                this.schedule.add(dueAt + 1 - this.schedule.now, () => this.reviewRuns(id));
                continue;
            }
            run.worker.endDueRuns(this.schedule.now);
            if (this.activeRuns.get(id)!.delete(run)) {
                const ageMs = Math.round(this.schedule.now - this.cancelledAt.get(id)!);
                this.report(`${run.task} run ${run.run} is active ${ageMs} ms after the job's cancellation`);
            }
        }
    }

    /** A run that starts after the cancellation is given the stable window first. */
    private endDueAt(id: string, run: ObservedRun): number {
        const cancelledAt = this.cancelledAt.get(id)!;
        const countedFrom = run.startedAt <= cancelledAt ? cancelledAt : run.startedAt + STABLE_WINDOW_MS;
        return Math.max(countedFrom, this.calmFrom) + END_WITHIN_MS;
    }
}

/** @param task Name of a task. @returns Identifier of its job. */
function jobIdOf(task: string): string {
    return task.slice(0, task.indexOf("."));
}
