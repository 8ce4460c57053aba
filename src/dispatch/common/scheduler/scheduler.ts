import { Disposable, toDisposable } from "../../../base/common/disposable";
import { DisposableStore } from "../../../base/common/disposableStore";
import { UnmeasuredWork } from "../../../base/common/unmeasuredWork";
import { jobKey, RunRecord } from "../../../jobs/common/jobRecord";
import { isFinal, JobEntry } from "../../../jobs/common/jobTable";
import { ActiveJob } from "../jobs/activeJob";
import { createAssignment } from "../runs/assignment";
import { DecisionData, DecisionName } from "./dispatchEffects";
import { ActiveJobTable, LeaderWriters } from "../jobs/activeJobTable";
import { JobPruner } from "../jobs/jobPruner";
import { JobRestorer } from "../jobs/jobRestorer";
import { PassPacer } from "./passPacer";
import { START_VALIDITY_MS } from "./dispatchLimits";
import { FailureController } from "../failures/failureController";
import { LatencyModel } from "../placement/latencyModel";
import { LeaseBook } from "../workers/leaseBook";
import { LatencyModelRecorder } from "../placement/latencyModelRecorder";
import { PlaceController } from "../locality/placeController";
import { ThrottleController } from "../runs/throttleController";
import { Run, RunHost, RunOutcome } from "../runs/run";
import { RunMover } from "../runs/runMover";
import { RunThrottle } from "../runs/runThrottle";
import { SchedulerContext } from "./schedulerContext";
import { SchedulerFailureHost } from "./schedulerFailureHost";
import { SchedulerPace } from "./schedulerPace";
import { SchedulerPoolHost } from "./schedulerPoolHost";
import { SchedulerQueueHost } from "./schedulerQueueHost";
import { SchedulerRunHost } from "./schedulerRunHost";
import { ShardController } from "../shards/shardController";
import { StartAdmission } from "../runs/startAdmission";
import { StartLoad } from "../runs/startWindow";
import { StepQueue } from "../waits/stepQueue";
import { SuspectTable } from "../failures/suspectTable";
import { RunOrders } from "../runs/runOrders";
import { OccurrenceBudget } from "../jobs/occurrenceBudget";
import { isFinishedBy, Task } from "../jobs/task";
import { ViewController } from "./viewController";
import { WaitLog } from "../waits/waitLog";
import { WorkerContact } from "../workers/workerContact";
import { EntryReading } from "../workers/workerEntry";
import { WorkerLossCause, WorkerPool } from "../workers/workerPool";
import { isStartProven, ListedEnd, NOT_EXECUTED_OUTCOMES, WorkerEvent } from "../workers/workerMessages";

/** Decides which worker runs which task during one leader's epoch. */
export class Scheduler implements Disposable {
    private readonly resources = DisposableStore.create();
    private readonly activeJobs: ActiveJobTable;
    private readonly leases: LeaseBook;
    private readonly pool: WorkerPool;
    private readonly model: LatencyModel;
    private readonly throttle: RunThrottle;
    private readonly throttleController: ThrottleController;
    private readonly suspects = SuspectTable.create();
    private readonly failures: FailureController;
    private readonly queue: StepQueue;
    private readonly mover = RunMover.create((run, reason, now) => this.stop(run, reason, now));
    private readonly views: ViewController;
    private readonly pruner: JobPruner;
    private readonly restorer: JobRestorer;
    private readonly admission: StartAdmission;
    private readonly orders: RunOrders;
    private readonly runHost: RunHost;
    private readonly pacer: PassPacer;
    /** Runs whose assignment is stored and whose start is not sent yet. */
    private pendingStarts: Run[] = [];
    /** Whether a task was assigned to a worker in this epoch. */
    hasAssigned = false;
    /** Number of passes over the waiting tasks so far. */
    passCount = 0;
    private readonly modelRecorder: LatencyModelRecorder;
    private readonly shards: ShardController;
    private readonly waitLog: WaitLog;
    private now = 0;
    private wallNow = 0;

    private constructor(
        private readonly context: SchedulerContext,
        private readonly epoch: number,
        writers: LeaderWriters,
        now: number,
    ) {
        this.now = now;
        this.pacer = PassPacer.create(context.work ?? UnmeasuredWork.create());
        this.model = LatencyModel.create(context.learnedInterference);
        this.modelRecorder = LatencyModelRecorder.create(this.model, writers.progress, now);
        const log = (name: DecisionName, data: DecisionData) => this.logDecision(name, data);
        this.views = ViewController.create(context.views, context.limits, log);
        this.leases = LeaseBook.create(context, { epoch, records: writers.jobs, shard: context.leases.shard }, now);
        const { limits, effects, queues, evacuations, leadership } = context;
        const poolHost = SchedulerPoolHost.create(this, leadership);
        this.pool = WorkerPool.create(leadership, this.leases, limits, poolHost, effects);
        this.activeJobs = ActiveJobTable.create(epoch, writers, context.jobs);
        this.pruner = JobPruner.create(context.jobs, this.activeJobs, writers, context.limits.retentionMs);
        this.admission = StartAdmission.create(queues, evacuations, id => this.pool.find(id), effects);
        this.orders = RunOrders.create(context, epoch, this.pool, this.admission, this.views);
        this.runHost = SchedulerRunHost.create(this, this.orders);
        this.throttle = RunThrottle.create(leadership, id => this.pool.find(id), context.effects);
        this.throttleController = ThrottleController.create(this.model, (run, percent) =>
            this.throttle.change(run, percent, this.now),
        );
        this.failures = FailureController.create(context.queues, this.suspects, SchedulerFailureHost.create(this));
        const host = SchedulerQueueHost.create(this);
        const places = PlaceController.create(limits.crossRackFactor);
        const pace = SchedulerPace.create(context.views.loop, this.pool);
        const usage = ShardController.createUsage(context.fleet, () => this.now);
        const budget = OccurrenceBudget.create(limits.maxJobBytes);
        this.queue = StepQueue.create(queues, this.model, this.suspects, host, undefined, pace, usage, places, budget);
        const usable = () => [...this.pool.all].filter(worker => this.admission.isUsable(worker, this.now));
        const sources = { jobs: this.activeJobs, queues, usage, usable, pace, writer: writers.jobs, log };
        this.shards = ShardController.create(context.fleet, sources);
        this.waitLog = this.resources.add(WaitLog.create(this.queue, this.admission, this.views, log));
        this.resources.add(this.activeJobs.onDidCancel(job => this.stopRuns(job, this.now)));
        this.resources.add(this.activeJobs.onDidAdoptTask(task => this.onTaskAdopted(task)));
        this.resources.add(
            this.activeJobs.onDidIgnoreJob(job =>
                this.logDecision("record-malformed", { key: jobKey("progress", job) }),
            ),
        );
        this.restorer = JobRestorer.create(context.jobs, context.progress, this.activeJobs, (task, record) =>
            this.inheritRun(task, record, this.now),
        );
        this.resources.add(context.jobs.onDidChange(entry => this.onJobChange(entry)));
        this.resources.add(evacuations.onDidChange(() => this.pacer.request()));
    }

    /**
     * Prepares the epoch of a leader that has read all records before its claim.
     * @param context Dependencies of the scheduler.
     * @param epoch Epoch of the leader.
     * @param writers Writers of the leader's records.
     * @param now Time in ms.
     * @returns The scheduler, without jobs and workers. It decides nothing until its jobs are restored and it has begun.
     */
    static create(context: SchedulerContext, epoch: number, writers: LeaderWriters, now: number): Scheduler {
        return new Scheduler(context, epoch, writers, now);
    }

    /** Whether the jobs of former leaders are restored. */
    get isRestored(): boolean {
        return this.restorer.isDone;
    }

    /**
     * Restores some of the jobs of former leaders.
     * @param now Time in ms.
     * @param maxWork Work after which it stops; a task is 1.
     */
    restore(now: number, maxWork?: number): void {
        this.now = now;
        this.restorer.restore(maxWork);
    }

    /**
     * Begins the epoch with the restored jobs and the workers that are registered by then.
     * @param now Time in ms.
     * @param tookMs Time since this instance read its claim, in ms.
     * @param isPrepared Whether it has got ready while the former leader led.
     */
    begin(now: number, tookMs: number, isPrepared = false): void {
        this.resources.add(toDisposable(() => this.logDecision("leader-ended", { epoch: this.epoch })));
        this.activeJobs.suspects().forEach(task => this.failures.reviewEvidence(task));
        this.pool.spreadFirstLists(isPrepared);
        const jobs = this.activeJobs.size;
        const formerLeasesMs = Math.round(Math.max(0, this.leases.formerEndsBy - now));
        const leases = { formerLeasesMs, formerBasis: this.context.leadership.formerBasis };
        const took = { tookMs, warm: isPrepared ? true : undefined };
        this.logDecision("leader-began", { epoch: this.epoch, jobs, ...took, ...leases, ...this.views.ageFields(now) });
    }

    /** Whether workers with runs of former leaders have not answered yet. */
    get isAwaitingWorkers(): boolean {
        return this.pool.isAwaitingFirstAnswers;
    }

    /** Whether there are jobs that are not finished. */
    get hasJobs(): boolean {
        return this.activeJobs.size > 0;
    }

    /**
     * Leaves jobs and workers to the leaders of other shards, before the first task is assigned.
     * @param isOwnJob Whether a job stays.
     * @param isOwnWorker Whether a worker stays.
     */
    release(isOwnJob: (id: string) => boolean, isOwnWorker: (id: string) => boolean): void {
        this.activeJobs.release(isOwnJob);
        this.pool.release(isOwnWorker);
    }

    /** Ends the epoch: nothing is sent from now on. */
    dispose(): void {
        this.resources.dispose();
    }

    /**
     * Adds, updates or deregisters a worker.
     * @param id Identifier of the worker.
     * @param reading Its entry in service discovery, or `undefined` if it was deregistered.
     * @param now Time in ms.
     */
    updateWorker(id: string, reading: EntryReading | undefined, now: number): void {
        if (reading === undefined) {
            this.pool.deregister(id);
        } else {
            this.mover.review(this.pool.register(reading, now));
        }
        this.pacer.request();
    }

    /** Deregisters all workers but these. */
    retainWorkers(ids: ReadonlySet<string>): void {
        this.pool.retain(ids);
    }

    /** Handles a suspension of the process: the entries of all workers are of any age until they are read again. */
    handleSuspension(): void {
        this.pool.handleSuspension();
    }

    /** Handles an answer of a worker. @param now Time in ms. */
    handleWorkerAnswer(event: WorkerEvent, now: number): void {
        const worker = this.pool.handleAnswer(event, now);
        if (worker === undefined) {
            return;
        }
        this.mover.review(worker);
        if (event.kind === "start-answer") {
            this.handleStartAnswer(worker, event, now);
        } else if (event.kind === "throttle-answer") {
            const run = worker.runs.get(event.order.task);
            if (run?.record.run === event.order.run) {
                this.throttle.handleAnswer(run, event.outcome === "done");
            }
        } else if (event.kind === "stop-answer" && event.outcome === "done") {
            const run = worker.runs.get(event.order.task);
            if (run?.record.run === event.order.run) {
                run.fire("stop-confirmed", { now });
                this.pool.requestListSoon(worker, now);
            }
        }
    }

    /**
     * Handles what is due: lists, leases, moves of runs, deletions and records.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    tick(now: number, wallNow: number): void {
        this.now = now;
        this.wallNow = wallNow;
        this.pool.tick(now);
        this.mover.tick(now);
        this.failures.recordUptime(this.pool.busyCount, now);
        this.activeJobs.publishStarts(now);
        this.pruner.tick(now);
        this.modelRecorder.tick(now);
        this.pacer.tick(now);
        this.shards.tick(now);
    }

    /**
     * Sends the pending starts and assigns waiting tasks to workers, if the leader may give orders and its views are
     * recent.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    schedule(now: number, wallNow: number): void {
        this.wallNow = wallNow;
        // A process that was paused may still believe that it leads: its successor waits only until its leases have ended.
        if (!this.canStart(now)) {
            return;
        }
        this.shards.review(now, wallNow);
        const starts = this.pendingStarts;
        this.pendingStarts = [];
        this.failures.recordStarts(starts);
        starts.forEach(run => run.fire("stored", { now }));
        const { loop } = this.context.views;
        this.pacer.isLate = loop?.state === "late";
        this.pacer.run(this.pool.size, now, () => {
            this.passCount += 1;
            this.pool.reviewPace(loop?.summary.medianMs ?? 0, this.pacer.intervalMs(this.pool.size), now);
            const all = [...this.pool.all];
            const usable = this.admission.usableWorkers(all, now);
            // What may not be used is no room for which a job could wait.
            const counted = all.filter(({ entry }) => !this.context.evacuations.includes(entry));
            this.queue.placeWaiting(this.activeJobs.all, usable, this.pool.remainingStarts(), now, wallNow, counted);
            this.waitLog.review(this.activeJobs.all, now);
        });
    }

    /** The starts in flight. */
    get startLoad(): StartLoad {
        return this.pool.startLoad;
    }

    /** Time in ms since the Unix epoch, as of the latest event. */
    get wallTime(): number {
        return this.wallNow;
    }

    /** A start lets a worker run its task for as long as it is valid. */
    private canStart(now: number): boolean {
        const { leadership } = this.context;
        const mayLast = now + START_VALIDITY_MS <= (leadership.leasesMayLastUntil ?? now);
        return leadership.canSendOrders() && mayLast && this.views.canStart(now);
    }

    /**
     * Handles a new end in a worker's list.
     * @param worker The worker.
     * @param end The end.
     * @param hasLaterLapse Whether the worker's lease expired after the end.
     * @param now Time in ms.
     */
    onEndReported(worker: WorkerContact, end: ListedEnd, hasLaterLapse: boolean, now: number): void {
        const { incarnation } = worker;
        const task = this.activeJobs.findTask(end.task);
        const markRecorded = () => this.onEndRecorded(worker, end, incarnation);
        // A confirmed end counts. If the task has been started again, the later run would then be a duplicate.
        const isConfirmable =
            end.end !== "done" || hasLaterLapse || !this.activeJobs.isRestartedAfter(end.task, end.run);
        if (task === undefined) {
            if (isConfirmable) {
                this.activeJobs.whenFinishStored(end.task, markRecorded);
            }
            return;
        }
        this.activeJobs.recordStart(task.job);
        const run = worker.runs.get(end.task);
        if (run?.record.run === end.run) {
            run.fire("ended", { now, end });
        } else if (isFinishedBy(task, end.end) && !task.job.isTaskDone(task)) {
            // The run was given up before the worker reported this end; a later run, if any, is stopped.
            this.recordDone(task, now);
        } else if (end.end === "failed") {
            this.failures.recordFailure(task, end.run, worker);
        }
        this.activeJobs.recordProgress(task.job, isConfirmable ? markRecorded : undefined);
    }

    /** Confirms the recorded ends of a worker soon: until then, it does not hold lists until the next end. */
    private onEndRecorded(worker: WorkerContact, end: ListedEnd, incarnation: number | undefined): void {
        worker.markRecorded(end.number, incarnation);
        if (!worker.hasUnrecordedEnds) {
            this.pool.requestListSoon(worker, this.now);
        }
    }

    /** Updates the latency model and the speeds of runs after a list of a worker. */
    onRunList(worker: WorkerContact, now: number): void {
        this.failures.reviewSurvival(worker);
        this.model.update(worker, now);
        this.throttleController.review(worker, now);
    }

    /** Handles the loss of a worker, before its runs end. */
    onWorkerLost(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void {
        this.failures.reviewLoss(worker, runs, cause);
    }

    /** Logs that a job has failed, and stops its runs. @param data Why it has failed. */
    onJobFailed(job: ActiveJob, data: DecisionData): void {
        this.logDecision("job-ended", { job: job.spec.id, state: job.state, ...data });
        this.stopRuns(job, this.now);
    }

    /** Records the progress of a job. */
    recordProgress(job: ActiveJob): void {
        this.activeJobs.recordProgress(job);
    }

    /** Adds a line to the decision log. */
    logDecision(name: DecisionName, data: DecisionData): void {
        this.context.effects.emit({ kind: "decision", name, data });
    }

    /**
     * Assigns a task to a worker.
     * @param task The task.
     * @param worker The worker.
     * @param speedPercent Speed at which it may run there, in percent. A run starts at full speed, so a lower one is ordered when
     * the start is accepted.
     * @param now Time in ms.
     * @returns Its run.
     */
    assign(task: Task, worker: WorkerContact, speedPercent: number, now: number): Run {
        this.hasAssigned = true;
        const record = createAssignment(task, worker, this.epoch);
        const run = Run.create(task, record, this.runHost, now);
        run.rack = worker.entry.rack;
        if (speedPercent < 100) {
            run.setSpeed(speedPercent, now);
            run.isSpeedConfirmed = false;
        }
        task.run = run;
        worker.runs.set(task.name, run);
        if (task.job.state === "queued") {
            task.job.state = "running";
        }
        this.activeJobs.recordProgress(task.job, () => this.onAssignmentStored(run));
        return run;
    }

    /** Stops a run that is throttled: another worker offers its task a higher speed. */
    moveThrottled(run: Run, now: number): void {
        run.task.moves += 1;
        this.stop(run, "slowed-down", now);
    }

    /** Stops a best-effort run: a long-running task needs its memory. */
    preempt(run: Run, now: number): void {
        this.stop(run, "preempted", now);
    }

    /** Requests a pass at a time, also if the latest one was expensive. @param at Time in ms. */
    requestPassBy(at: number): void {
        this.pacer.requestBy(at);
    }

    /** Handles a start that a worker has carried out. */
    onRunStart({ task }: Run): void {
        this.activeJobs.recordStart(task.job);
    }

    /** Handles the end of a run: finishes its task if the end does so, counts a failure or lets the task wait again. */
    onRunEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void {
        const { task, record } = run;
        const worker = this.pool.find(record.worker);
        worker?.runs.delete(task.name);
        task.run = undefined;
        this.pacer.request();
        const heldMs = Math.round(now - run.assignedAt);
        const { run: number, worker: id } = record;
        const listed = { listedMs: worker?.silentMs(now), listGapMs: worker?.listGapMs };
        this.logDecision("run-ended", { task: task.name, run: number, worker: id, outcome, heldMs, ...listed });
        if (checkpoint !== "") {
            task.checkpoint = checkpoint;
        }
        if (outcome === "done") {
            worker?.trust.recordSuccess(now);
            this.queue.recordEnd(run, now);
            this.recordDone(task, now);
        } else if (outcome === "failed") {
            this.failures.recordFailure(task, record.run, worker);
            worker?.trust.recordFailure({ now, familyFailureRate: 0 });
        }
        task.hasLostRun ||= outcome === "lost";
        if (outcome !== "lost" && outcome !== "unstarted") {
            task.job.lastEndAt = worker?.heardAt ?? now;
        }
        if (outcome !== "unstarted") {
            task.hasOldCheckpoint = outcome === "lost";
            task.lastRun = Math.max(task.lastRun, record.run);
        }
        if (task.step.mode === "gang" && outcome !== "done") {
            this.stopGang(task, record.run, now);
        }
        this.activeJobs.recordProgress(task.job);
    }

    private handleStartAnswer(
        worker: WorkerContact,
        event: WorkerEvent & { readonly kind: "start-answer" },
        now: number,
    ): void {
        const run = worker.runs.get(event.order.task);
        if (run?.record.run !== event.order.run) {
            return;
        }
        if (event.outcome === "done") {
            run.isStartProven = isStartProven(event.order, event.outcome, event.clockMs);
            run.fire("accepted", { now });
            this.throttleController.applyPlannedSpeed(run, worker, now);
            this.pool.requestListSoon(worker, now);
            return;
        }
        const { task, run: number } = event.order;
        this.logDecision("order-failed", { task, run: number, worker: event.worker, outcome: event.outcome });
        if (!NOT_EXECUTED_OUTCOMES.includes(event.outcome)) {
            run.fire("unanswered", { now });
            this.pool.requestListSoon(worker, now);
            return;
        }
        worker.backOff(event.outcome, now);
        run.fire("not-started", { now });
    }

    private onTaskAdopted(task: Task): void {
        this.shards.recordArrival(task, this.now);
        this.failures.reviewEvidence(task);
    }

    private onJobChange(entry: JobEntry): void {
        // Without its progress, its tasks would run again.
        if (!this.restorer.isWaiting(entry.id)) {
            this.activeJobs.update(entry);
            this.pacer.request();
        }
    }

    /** Queues the start instead of sending it: after a suspension the store must confirm the epoch again first. */
    private onAssignmentStored(run: Run): void {
        this.pendingStarts.push(run);
    }

    private inheritRun(task: Task, record: RunRecord, now: number): void {
        const worker = this.pool.findOrCreate(record);
        const run = Run.inherit(task, record, this.runHost, now);
        task.run = run;
        task.highestRun = Math.max(task.highestRun, record.run);
        worker.runs.set(task.name, run);
        if (isFinal(task.job.state)) {
            run.fire("stop", { now });
        }
    }

    /** Handles a run that ended as done, and finishes its task unless it is long-running. */
    private recordDone(task: Task, now: number): void {
        const { job } = task;
        this.failures.recordSuccess(task);
        if (isFinishedBy(task, "done")) {
            job.markDone(task);
            if (task.run !== undefined) {
                this.stop(task.run, "done-elsewhere", now);
            }
        }
        if (job.isDone && !isFinal(job.state)) {
            job.state = "done";
            this.logDecision("job-ended", { job: job.spec.id, state: "done", lateMs: this.wallNow - job.objectiveMs });
        }
    }

    /** Stops the runs of a job that has failed or is cancelled. */
    private stopRuns(job: ActiveJob, now: number): void {
        job.runsLike(() => true).forEach(run => this.stop(run, job.state, now));
    }

    private stopGang(task: Task, endedRun: number, now: number): void {
        task.job.gangRunsToStop(task, endedRun).forEach(run => this.stop(run, "gang-broken", now));
    }

    private stop(run: Run, reason: string, now: number): void {
        if (!run.isEnding) {
            const { task, run: number, worker } = run.record;
            this.logDecision("run-stopping", { task, run: number, worker, reason, ...this.views.ageFields(now) });
            run.fire("stop", { now });
        }
    }
}
