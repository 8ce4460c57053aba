import { isFinal } from "../../../jobs/common/jobTable";
import { QueueTable } from "../../../jobs/common/queueTable";
import { ActiveJob } from "../jobs/activeJob";
import { ControlGroup } from "./controlGroup";
import { CutDetector } from "./cutDetector";
import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { LossRate } from "./lossRate";
import { LossSeries, MAX_LOSSES_IN_A_ROW } from "./lossSeries";
import { ReviewedLoss } from "./reviewedLoss";
import { Run } from "../runs/run";
import { SharedLossTable, startUnitOf } from "./sharedLossTable";
import { hasOneLoss, SuspectTable } from "./suspectTable";
import { isFinishedBy, Task } from "../jobs/task";
import { TaskSuspicion } from "./taskSuspicion";
import { WorkerContact } from "../workers/workerContact";
import { WorkerLossCause } from "../workers/workerPool";

/** Age from which a run that is lost with its worker is no longer suspected of being the cause, in ms. */
const MAX_SUSPECT_AGE_MS = 3_000;

/** Age from which a run that is lost does not count as one in a row, in ms. */
const MAX_COUNTED_AGE_MS = 10_000;

/** The same for tasks that last, in ms: all of them are lost some time, and each that counts has a worker for itself until then. */
const MAX_COUNTED_LASTING_AGE_MS = 3_000;

/**
 * Shortest time for which a loss of the worker is attributed to a start, in ms: until a report shows that the worker has survived
 * it.
 */
const ATTRIBUTION_MS = 1_000;

/** Time before a leader inherits a run for which its worker may have had it unsurvived, in ms: until a change of leader is over. */
const INHERITED_ATTRIBUTION_MS = 3_000;

/**
 * Probability of a loss being a coincidence above which a loss that was shared with tasks that are cleared is no evidence against
 * the only one that remains: while many workers are lost, such losses are too frequent.
 */
const MAX_ATTRIBUTED_COINCIDENCE = 0.05;

/** Time after a loss for which no task starts on a last attempt while workers are lost often, in ms: the next one may follow. */
const LAST_ATTEMPT_HOLD_MS = 3_000;

/** Time after a cut for which no task starts on a last attempt, in ms: the next one may follow. */
const CUT_HOLD_MS = 5_000;

/** Host of a failure controller. */
export abstract class FailureHost {
    /** Called when a job has failed. @param data Why it has failed. */
    abstract onJobFailed(job: ActiveJob, data: DecisionData): void;

    /** Called when the evidence against a task of a job has changed and has to be recorded. */
    abstract onSuspicionChange(job: ActiveJob): void;

    /** Adds a line to the decision log. */
    abstract logDecision(name: DecisionName, data: DecisionData): void;
}

/**
 * Decides when a task is given up: when it has failed too often, or crashes the workers that start it.
 *
 * A worker that crashes reports no end, so such a task would otherwise be started without limit. Of the runs that are
 * lost with a worker, those whose start it has not survived for long are suspected. Each suspected task is started again
 * on a worker that starts nothing else meanwhile (`ProbationPlacer`). There it is cleared when the worker survives it,
 * and accused when the worker is lost; how many such losses convict it depends on how often workers are lost otherwise
 * (`LossRate`) and on how many other workers were lost at that moment (`ControlGroup`). Evidence about one of the tasks that shared a
 * lost worker counts for the others, too (`SharedLossTable`). A task that crashes its workers after some time is cleared each time, so
 * the losses in a row are counted, too (`LossSeries`), and the last runs before it would be given up for them have a worker for
 * themselves while no other is lost. When something else turns out to explain a loss (`ReviewedLoss`), it is no evidence any more.
 */
export class FailureController {
    private readonly lossRate = LossRate.create();
    private readonly sharedLosses = SharedLossTable.create();
    private readonly cuts = CutDetector.create<ReviewedLoss>();
    private readonly controls = ControlGroup.create();
    /** Losses whose cause may still become known. */
    private openLosses: ReviewedLoss[] = [];
    /** Time (ms) of the latest measurement. */
    private now: number | undefined;
    /** Time (ms) at which the latest loss of a worker came to light that was not by an expired lease. */
    private lostAt = Number.NEGATIVE_INFINITY;
    /** Time (ms) at which the latest cut came to light. */
    private cutAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly queues: QueueTable,
        private readonly suspects: SuspectTable,
        private readonly host: FailureHost,
    ) {}

    /**
     * @param queues Queues as configured.
     * @param suspects Receives the suspected tasks.
     * @param host Notified of failed jobs and of changes to record.
     * @returns The controller.
     */
    static create(queues: QueueTable, suspects: SuspectTable, host: FailureHost): FailureController {
        return new FailureController(queues, suspects, host);
    }

    /**
     * Counts a run that ended with `failed`.
     * @param task Its task.
     * @param run Number of the run; one that was counted before has no effect.
     * @param worker Worker on which it failed, if known.
     */
    recordFailure(task: Task, run: number, worker: WorkerContact | undefined): void {
        if (run <= task.lastRun) {
            return;
        }
        task.lastRun = run;
        task.failures += 1;
        this.clearLosses(task);
        this.clear(task);
        if (worker !== undefined) {
            task.failedOn.add(worker.entry.id);
        }
        const { maxAttempts } = this.queues.latestSettings(task.job.spec.queue);
        if (task.step.mode !== "long-running" && task.failures >= maxAttempts) {
            this.failJob(task, { task: task.name, failures: task.failures });
        }
    }

    /**
     * Handles the loss of a worker.
     * @param worker The worker.
     * @param lostRuns Runs that were lost with it. Those that were paused are no evidence against their tasks. Those whose
     * start the worker may not have got count as losses in a row only, which bounds the starts of a task that crashes its workers
     * before they answer.
     * @param cause How it was lost.
     */
    reviewLoss(worker: WorkerContact, lostRuns: readonly Run[], cause: WorkerLossCause): void {
        // A run that was stopped before is not on the worker any more.
        const runs = lostRuns.filter(run => !run.isPauseProven && run.state !== "stopped");
        const started = runs.filter(run => worker.canHaveStarted(run));
        const recent = started.filter(run => !run.isProven && canBeSuspected(run));
        this.logLoss(worker, lostRuns, cause, {
            unproven: recent,
            unanswered: runs.filter(run => !started.includes(run)),
        });
        const isEarly = (run: Run) => run.provenAgeMs <= MAX_SUSPECT_AGE_MS && canBeSuspected(run);
        const candidates = mostLikely(recent.length > 0 ? recent : started.filter(isEarly));
        const isExperiment = candidates.some(run => run.task.suspicion?.isAccused === true);
        const loss = this.createLoss(worker, cause, candidates, isExperiment);
        const suspects = loss.isExplained ? [] : candidates;
        // If the worker had survived all starts, this loss alone is no evidence against any of them.
        const isAlone = recent.length > 0 && new Set(suspects.map(run => startUnitOf(run.task))).size === 1;
        const withinMs = Math.max(ATTRIBUTION_MS, ...suspects.map(run => this.attributionMs(run, worker, cause)));
        suspects.forEach(run => this.accuse(run.task, loss, isAlone, withinMs));
        // A worker whose lease expired may only have been out of reach.
        if (recent.length > 0 && suspects.length > 0 && !isAlone && cause !== "lease-expired") {
            const tasks = suspects.map(run => run.task);
            loss.shared = this.sharedLosses.add(loss, tasks, withinMs);
        }
        const culprits = new Set(suspects.filter(run => run.task.suspicion?.isAccusedAgain === true));
        for (const run of runs) {
            if (!loss.isExplained) {
                run.task.lossAgeMs = isEarly(run) ? run.provenAgeMs : 0;
            }
            this.countLoss(run, loss, culprits.size > 0 && !culprits.has(run));
            this.host.onSuspicionChange(run.task.job);
        }
        this.settle(loss);
        if (loss.state === "cut") {
            loss.series.forEach((_, task) => this.decide(task));
        }
    }

    private logLoss(
        worker: WorkerContact,
        lostRuns: readonly Run[],
        cause: WorkerLossCause,
        { unproven, unanswered }: { readonly unproven: readonly Run[]; readonly unanswered: readonly Run[] },
    ): void {
        const { incarnation, leaseBasis } = worker;
        const silentMs = this.now === undefined ? undefined : worker.silentMs(this.now);
        const about = { worker: worker.entry.id, cause, incarnation, runs: lostRuns.length, leaseBasis, silentMs };
        const data = { ...about, unproven: namesOf(unproven), unanswered: namesOf(unanswered) };
        this.host.logDecision("worker-lost", data);
    }

    private createLoss(
        worker: WorkerContact,
        cause: WorkerLossCause,
        candidates: readonly Run[],
        isExperiment: boolean,
    ): ReviewedLoss {
        const now = this.now ?? 0;
        const suspects = candidates.map(run => run.task);
        const loss = ReviewedLoss.create(worker, cause, suspects, isExperiment, now);
        this.controls.recordLoss(worker);
        this.lossRate.recordLoss();
        // The lease of a worker that is silent expires long after the loss.
        this.lostAt = cause === "lease-expired" ? this.lostAt : now;
        if (worker.heardAt !== undefined) {
            this.reviewCut(loss);
        }
        this.openLosses.push(loss);
        return loss;
    }

    /** Explains the losses of many workers at the same moment by a cut. */
    private reviewCut(loss: ReviewedLoss): void {
        const cut = this.cuts.add(loss);
        const isKnown = cut.some(each => each.state === "cut");
        for (const each of cut.filter(other => !other.isExplained)) {
            each.fire("cut");
            this.withdraw(each);
        }
        if (cut.length > 0) {
            this.cutAt = this.now ?? this.cutAt;
        }
        if (cut.length > 0 && !isKnown) {
            const workers = new Set(cut.map(each => each.worker)).size;
            this.host.logDecision("workers-cut", { worker: loss.worker, workers });
        } else if (cut.length === 0) {
            const others = this.othersAtMomentOf(loss);
            loss.lossRatio = this.controls.lossRatio(loss, others);
        }
    }

    /** @returns The workers that were lost at the moment of a loss without having tried an accused task. */
    private othersAtMomentOf(loss: ReviewedLoss): ReadonlySet<string> {
        const others = this.cuts.lossesAtMomentOf(loss).filter(each => !each.isExperiment);
        return new Set(others.map(each => each.worker));
    }

    /** Takes back all evidence of a loss that something else explains. */
    private withdraw(loss: ReviewedLoss): void {
        if (loss.shared !== undefined) {
            this.sharedLosses.delete(loss.shared);
        }
        for (const task of loss.series.keys()) {
            const wasSuspected = task.suspicion?.recorded !== undefined;
            task.suspicion?.withdraw(loss);
            if (wasSuspected && task.suspicion?.recorded === undefined) {
                task.lossAgeMs = 0;
                this.host.logDecision("task-cleared", { task: task.name });
            }
            this.decide(task);
        }
    }

    /** Counts a loss for good once the other workers have been listed since. */
    private settle(loss: ReviewedLoss): void {
        const now = this.now ?? loss.knownAt;
        if (loss.state === "awaited" && this.controls.hasReported(loss, now)) {
            loss.lossRatio = this.controls.lossRatio(loss, this.othersAtMomentOf(loss), true);
            loss.fire("reported");
            loss.series.forEach((_, task) => this.decide(task));
        }
    }

    /** Gives up a task if the losses that nothing else explains are hardly a coincidence, or too many. */
    private decide(task: Task): void {
        if (isFinal(task.job.state)) {
            return;
        }
        task.suspicion?.review();
        if (task.suspicion?.state === "convicted") {
            this.host.logDecision("task-suspected", { task: task.name, state: "convicted" });
            this.giveUp(task, {});
        } else if (task.lossesInARow >= MAX_LOSSES_IN_A_ROW) {
            this.giveUp(task, { losses: task.lossesInARow });
        }
        this.suspects.update(task);
        this.host.onSuspicionChange(task.job);
    }

    /** Records that a run of a task has ended as `done`: its worker has survived it. */
    recordSuccess(task: Task): void {
        if (!isFinishedBy(task, "done")) {
            this.clearLosses(task);
            this.clear(task);
        }
        this.attributeSharedLosses(task);
    }

    /** Reviews a task of earlier leaders, or of another shard's: that may have given it up, and left its job to this one. */
    reviewEvidence(task: Task): void {
        if (!task.job.isGuest && task.lossesInARow >= MAX_LOSSES_IN_A_ROW) {
            this.failJob(task, { task: task.name, reason: "crashes-workers", losses: task.lossesInARow });
            this.host.onSuspicionChange(task.job);
        }
        this.suspects.update(task);
    }

    /** Measures how many workers are at work. @param workers Number of workers with runs. @param now Time in ms. */
    recordUptime(workers: number, now: number): void {
        this.now = now;
        this.lossRate.recordUptime(workers, now);
        this.cuts.recordUptime(workers, now);
        this.controls.prune(now);
        for (const loss of this.openLosses) {
            loss.reviewAge(now);
            this.settle(loss);
        }
        this.openLosses = this.openLosses.filter(each => each.state === "awaited" || each.mayReturn);
        const isLostOften = this.lossRate.isHigh && now - this.lostAt < LAST_ATTEMPT_HOLD_MS;
        this.suspects.isTroubled = isLostOften || now - this.cutAt < CUT_HOLD_MS;
    }

    /** Records that runs are started. */
    recordStarts(runs: readonly Run[]): void {
        this.cuts.recordStarts(runs.filter(each => each.task.lastRun === 0).length);
    }

    /** Clears the suspected tasks whose start the worker has survived, after a list of the worker. */
    reviewSurvival(worker: WorkerContact): void {
        this.controls.recordList(worker);
        this.openLosses.filter(each => each.mayReturn).forEach(loss => this.recordAnswer(loss, worker));
        for (const run of worker.runs.values()) {
            const { task } = run;
            if (task.lossesInARow > 0 && run.provenAgeMs > maxCountedAgeMs(task)) {
                this.clearLosses(task);
                this.host.onSuspicionChange(task.job);
            }
            if ((task.lossAgeMs > 0 || task.suspicion !== undefined) && run.isProven) {
                this.clear(task);
            }
        }
    }

    /** Takes back a loss if the answer of its worker shows that it has not crashed. */
    private recordAnswer(loss: ReviewedLoss, worker: WorkerContact): void {
        loss.reviewAnswer(worker);
        if (loss.state === "out-of-reach") {
            this.lossRate.discountLosses(1);
            this.host.logDecision("loss-explained", { worker: loss.worker, state: loss.state });
            this.withdraw(loss);
        }
    }

    /** Counts a loss as one in a row. @param isOthers Whether another task was accused of it again. */
    private countLoss({ task, provenAgeMs }: Run, loss: ReviewedLoss, isOthers: boolean): void {
        if (provenAgeMs > maxCountedAgeMs(task)) {
            this.clearLosses(task);
            return;
        }
        task.losses ??= LossSeries.create(0);
        task.losses.add(loss, isOthers);
        loss.series.set(task, task.losses);
        this.suspects.update(task);
    }

    private clearLosses(task: Task): void {
        task.losses = undefined;
        this.suspects.update(task);
    }

    /**
     * @returns Time for which the loss of a worker counts against a start that no report has shown to be survived, in ms. A worker
     * that does not answer may be lost at any time until the loss is known, or until nothing listens at its address.
     */
    private attributionMs(run: Run, worker: WorkerContact, cause: WorkerLossCause): number {
        const now = this.now ?? run.assignedAt;
        const lostBy = cause === "lease-expired" ? now : Math.min(now, worker.refusedAt ?? now);
        const beforeMs = run.isInherited && this.now !== undefined ? INHERITED_ATTRIBUTION_MS : 0;
        return Math.max(ATTRIBUTION_MS + run.task.lossAgeMs, beforeMs + lostBy - run.assignedAt);
    }

    /** @param withinMs Time within which the worker was lost, in ms. */
    private accuse(task: Task, loss: ReviewedLoss, isAlone: boolean, withinMs: number): void {
        if (isFinal(task.job.state)) {
            return;
        }
        task.suspicion ??= TaskSuspicion.create();
        const coincidence = () => Math.max(loss.lossRatio, this.lossRate.probabilityWithin(withinMs, 1));
        task.suspicion.recordLoss(isAlone ? "lost-alone" : "lost-with-others", { loss, coincidence });
        const { state } = task.suspicion;
        const data = { task: task.name, worker: loss.worker, state, coincidence: coincidence().toFixed(3) };
        this.host.logDecision("task-suspected", data);
        this.suspects.update(task);
        this.host.onSuspicionChange(task.job);
        if (isAlone) {
            this.sharedLosses.attributeTo(task).forEach(each => this.clearIfSuspected(each));
        }
    }

    private clear(task: Task): void {
        task.lossAgeMs = 0;
        if (task.suspicion?.recorded === undefined) {
            return;
        }
        task.suspicion.clear();
        this.suspects.update(task);
        this.host.logDecision("task-cleared", { task: task.name });
        this.host.onSuspicionChange(task.job);
        this.attributeSharedLosses(task);
    }

    /** Clears a task whose only loss an accused task explains. */
    private clearIfSuspected(task: Task): void {
        if (task.suspicion?.state === "suspected" && hasOneLoss(task)) {
            this.clear(task);
        }
    }

    /** Attributes the losses that a task shared with others and did not cause to the only one of them that remains. */
    private attributeSharedLosses(innocent: Task): void {
        const isUnlikely = this.lossRate.probabilityWithin(ATTRIBUTION_MS) <= MAX_ATTRIBUTED_COINCIDENCE;
        for (const { task, loss, withinMs } of this.sharedLosses.clear(innocent)) {
            if (task.suspicion?.state === "suspected" && isUnlikely && !loss.isExplained) {
                this.accuse(task, loss, true, withinMs);
            }
        }
    }

    /** Gives up a task that crashes its workers. */
    private giveUp(task: Task, data: DecisionData): void {
        if (!isFinal(task.job.state)) {
            this.lossRate.discountLosses(task.lossesInARow);
            const lost = task.losses?.all.map(each => `${each.worker}:${each.state}`).join(" ");
            this.failJob(task, { task: task.name, reason: "crashes-workers", ...data, lost });
        }
    }

    private failJob(task: Task, data: DecisionData): void {
        const { job } = task;
        if (job.isGuest) {
            // The leader of its shard lets it fail, once the task is back there.
            task.lossesInARow = Math.max(task.lossesInARow, MAX_LOSSES_IN_A_ROW);
            job.recordChange();
        } else if (!isFinal(job.state)) {
            job.state = "failed";
            this.host.onJobFailed(job, data);
        }
    }
}

function maxCountedAgeMs({ step }: Task): number {
    return step.mode === "long-running" ? MAX_COUNTED_LASTING_AGE_MS : MAX_COUNTED_AGE_MS;
}

function namesOf(runs: readonly Run[]): string {
    return runs.map(run => run.record.task).join(" ");
}

/** @returns The runs of accused tasks, or else of suspected ones, if there are any: they are a more likely cause. */
function mostLikely(runs: readonly Run[]): readonly Run[] {
    const accused = runs.filter(run => run.task.suspicion?.isAccused === true);
    const suspected = runs.filter(run => run.task.suspicion?.recorded !== undefined);
    return [accused, suspected].find(each => each.length > 0) ?? runs;
}

/**
 * An inherited run may have been at work for hours, so it is no cause for a first suspicion: when workers are lost
 * together with the leader, all their tasks would be suspected.
 */
function canBeSuspected(run: Run): boolean {
    return !run.isInherited || run.task.suspicion?.recorded !== undefined;
}
