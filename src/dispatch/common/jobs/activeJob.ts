import { DoneSet } from "../../../jobs/common/doneSet";
import { JobProgress, TaskRecord } from "../../../jobs/common/jobRecord";
import { JobSpec, JobState, StepSpec } from "../../../jobs/common/jobSpec";
import { OccurrenceSet } from "../../../jobs/common/occurrenceSet";
import { isFinal } from "../../../jobs/common/jobTable";
import { TaskTransfer } from "../../../jobs/common/taskTransfer";
import { ActiveTask } from "./activeTask";
import type { Run } from "../runs/run";
import { isFinishedBy, Task } from "./task";
import { TaskSuspicion } from "../failures/taskSuspicion";

/** The tasks of one step in one occurrence. */
export interface TaskGroup {
    readonly key: string;
    readonly step: StepSpec;
    readonly occurrence: number;
    readonly done: DoneSet;
    readonly tasks: readonly Task[];
}

/** Number of tasks with which no further occurrence of a job is opened: many may be due at once. */
export const MAX_OPEN_TASKS = 20_000;

/** A job that is not finished, with its tasks. The tasks of an occurrence are created when it is due. */
export class ActiveJob {
    private readonly groupsByKey = new Map<string, TaskGroup>();
    /** Occurrences of which all steps are done. */
    private readonly finishedOccurrences = OccurrenceSet.create();
    /** Those of which nothing but that is kept. */
    private readonly closedOccurrences = OccurrenceSet.create();
    /** Finished occurrences that are closed once their tasks have no runs. */
    private readonly closing = new Set<number>();
    private openedCount = 0;
    private unfinishedGroups = 0;
    private readonly tasksPerOccurrence: number;
    private readonly runs = new Set<Run>();
    /** Result of `remainingMs` for each step, which all occurrences share. */
    private readonly remainingMsByStep = new Map<StepSpec, number>();
    /** Highest run of each gang of which all runs are stopped, by group. */
    private readonly stoppedGangRuns = new Map<string, number>();
    private changes = 0;
    /** Whether one of its tasks was transferred by itself: then the others stay. */
    private hasTaskTransfers = false;

    state: JobState = "queued";
    isCancelled = false;
    /** State in the latest progress record. */
    recordedState: JobState = "queued";
    /** How often it was transferred between shards. */
    transfers = 0;
    /** Number of progress records that are not stored yet. */
    unstoredRecords = 0;
    /** Time (ms) at which the latest list with the end of one of its runs arrived; the run may never have been listed before. */
    lastEndAt: number | undefined;
    /** State that was last published to all instances. */
    publishedState: JobState = "queued";
    /** Whether a worker has started one of its tasks. A job with an assigned run is `running` for the leader, and `queued` for callers. */
    hasStarted = false;
    /** Time by which the job should be finished to have its full value, in ms since the Unix epoch. */
    readonly objectiveMs: number;
    /** Whether the job has a long-running step and so runs until it is cancelled. */
    readonly isLongRunning: boolean;
    /** Number of times that the steps are run. */
    readonly occurrences: number;

    private constructor(
        readonly spec: JobSpec,
        /** Offset of its spec in the stream. */
        readonly specOffset: number,
        /** Whether another shard has the job, and this one only tasks that were transferred to it. */
        readonly isGuest: boolean,
    ) {
        const { queue } = spec;
        this.objectiveMs = spec.acceptedAtMs + queue.stretch * criticalPathMs(spec.steps) + queue.slackMs;
        this.occurrences = Math.max(1, spec.occurrences);
        this.tasksPerOccurrence = spec.steps.reduce((sum, { tasks }) => sum + tasks, 0);
        this.isLongRunning = spec.steps.some(step => step.mode === "long-running");
    }

    /**
     * @param spec The job.
     * @param specOffset Offset of its spec in the stream.
     * @param progress Progress recorded by an earlier leader, if any.
     * @param isGuest Whether another shard has it; then all of its tasks are elsewhere until they are transferred.
     * @returns The job; the caller adds its runs.
     */
    static create(spec: JobSpec, specOffset: number, progress: JobProgress | undefined, isGuest = false): ActiveJob {
        const job = new ActiveJob(spec, specOffset, isGuest);
        job.state = progress?.state ?? (isGuest ? "running" : "queued");
        const occupied = [...(progress?.tasks ?? []), ...(progress?.runs ?? [])].map(each => groupKeyOf(each.task));
        const open = new Set(occupied.map(occurrenceOf));
        for (const occurrence of new Set(Object.keys(progress?.done ?? {}).map(occurrenceOf))) {
            if (!open.has(occurrence) && job.canCloseRestored(occurrence, progress!)) {
                job.finishedOccurrences.add(occurrence);
                job.closedOccurrences.add(occurrence);
            } else {
                open.add(occurrence);
            }
        }
        open.forEach(occurrence => job.open(occurrence, progress));
        (progress?.tasks ?? []).forEach(record => job.restoreTask(record));
        job.hasStarted = hasEnds(progress);
        return job;
    }

    /** State for callers, as of the latest progress record. */
    get shownState(): JobState {
        return this.recordedState === "running" && !this.hasStarted ? "queued" : this.recordedState;
    }

    /** Task groups of the open occurrences. */
    get groups(): Iterable<TaskGroup> {
        return this.groupsByKey.values();
    }

    /** All tasks of the open occurrences. */
    *tasks(): Generator<Task> {
        for (const group of this.groupsByKey.values()) {
            yield* group.tasks;
        }
    }

    /** Whether one of its tasks has a run. */
    get hasRun(): boolean {
        return this.runs.size > 0;
    }

    /** @returns The runs of its tasks for which this holds. */
    runsLike(isMatch: (run: Run) => boolean): Run[] {
        return [...this.runs].filter(isMatch);
    }

    /** Increases with each change of which tasks wait: their occurrences, runs, speeds, ends and suspicions. */
    get version(): number {
        return this.changes;
    }

    /** Records a change of which tasks wait. */
    recordChange(): void {
        this.changes += 1;
    }

    /** Records that a task has another run. @param before Its former run. @param after Its new one. */
    recordRunChange(before: Run | undefined, after: Run | undefined): void {
        if (before !== undefined) {
            this.runs.delete(before);
        }
        if (after !== undefined) {
            this.runs.add(after);
        }
        this.recordChange();
    }

    /** Whether every task of every occurrence is done. */
    get isDone(): boolean {
        return this.finishedOccurrences.size === this.occurrences;
    }

    /** @param name Name of a task. @returns The task if its occurrence is open and its name is valid. */
    find(name: string): Task | undefined {
        const index = Number(name.slice(name.lastIndexOf(".") + 1));
        return this.groupsByKey.get(groupKeyOf(name))?.tasks[index];
    }

    /** Number of tasks that it keeps beyond those of one occurrence. */
    get tasksAhead(): number {
        return Math.max(0, (this.groupsByKey.size / Math.max(1, this.spec.steps.length) - 1) * this.tasksPerOccurrence);
    }

    /**
     * Closes the occurrences that are finished, and opens those that are due.
     * @param wallNow Time in ms since the Unix epoch.
     * @param maxTasksAhead How many tasks it may keep beyond those of one occurrence. One occurrence is open in any case.
     * @returns Whether one was opened.
     */
    openDue(wallNow: number, maxTasksAhead = MAX_OPEN_TASKS - this.tasksPerOccurrence): boolean {
        this.closing.forEach(each => this.close(each));
        const openedBefore = this.openedCount;
        while (this.openedCount < this.occurrences && this.dueMs(this.openedCount) <= wallNow) {
            const isKnown = this.closedOccurrences.has(this.openedCount) || this.isOpen(this.openedCount);
            const hasRoom = this.unfinishedGroups === 0 || this.tasksAhead + this.tasksPerOccurrence <= maxTasksAhead;
            if (!isKnown && !hasRoom) {
                break;
            }
            if (!isKnown) {
                this.open(this.openedCount, undefined);
            }
            this.openedCount += 1;
        }
        return this.openedCount > openedBefore;
    }

    private isOpen(occurrence: number): boolean {
        return this.groupsByKey.has(`${occurrence}.0`);
    }

    /** Forgets the tasks of a finished occurrence, unless their runs go on or count for later ends. */
    private close(occurrence: number): void {
        const tasks = this.groupsOf(occurrence).flatMap(group => group.tasks);
        if (tasks.some(({ run }) => run !== undefined)) {
            return;
        }
        this.closing.delete(occurrence);
        if (tasks.every(task => !task.hasLostRun && task.suspicion === undefined && task.transfers === 0)) {
            for (const { key } of this.groupsOf(occurrence)) {
                this.groupsByKey.delete(key);
                this.stoppedGangRuns.delete(key);
            }
            this.closedOccurrences.add(occurrence);
            this.recordChange();
        }
    }

    /** @returns Whether progress shows that all tasks of an occurrence are done. */
    private canCloseRestored(occurrence: number, { done = {} }: JobProgress): boolean {
        return (
            this.occurrences > 1 &&
            this.spec.steps.every(
                ({ tasks, mode }, step) =>
                    mode !== "long-running" && done[`${occurrence}.${step}`] === DoneSet.packFull(tasks),
            )
        );
    }

    /** @returns Whether all steps on which the group's step depends are done. Only tasks that were ready are transferred. */
    isReady(group: TaskGroup): boolean {
        return (
            this.isGuest ||
            group.step.after.every(step => this.groupsByKey.get(`${group.occurrence}.${step}`)!.done.isFull)
        );
    }

    /** @returns Time from which a group may run, apart from the steps before it, in ms since the Unix epoch. */
    readyAtMs(group: TaskGroup): number {
        return Math.max(this.spec.acceptedAtMs, this.dueMs(group.occurrence));
    }

    /** @returns Estimated duration of the group's step and the steps that depend on it, in ms. */
    remainingMs({ step }: TaskGroup): number {
        const known = this.remainingMsByStep.get(step);
        if (known !== undefined) {
            return known;
        }
        const remainingMs = remainingPathMs(this.spec.steps, this.spec.steps.indexOf(step));
        this.remainingMsByStep.set(step, remainingMs);
        return remainingMs;
    }

    /**
     * @param task A member of a gang whose run has ended.
     * @param endedRun Number of that run.
     * @returns The runs of the other members, which cannot go on; none if they were returned for a member that started with them.
     */
    gangRunsToStop(task: Task, endedRun: number): Run[] {
        const { groupKey } = task;
        if (endedRun <= (this.stoppedGangRuns.get(groupKey) ?? 0)) {
            return [];
        }
        const runs = this.runsLike(run => run.task.groupKey === groupKey);
        this.stoppedGangRuns.set(groupKey, Math.max(endedRun, ...runs.map(run => run.record.run)));
        return runs;
    }

    /** Marks a task as done; for a gang, all its tasks. */
    markDone(task: Task): void {
        const group = this.groupOf(task);
        this.recordChange();
        const wasFull = group.done.isFull;
        if (task.step.mode === "gang") {
            group.done.addAll();
        } else {
            group.done.add(task.index);
        }
        if (group.done.isFull && !wasFull) {
            this.unfinishedGroups -= 1;
            this.recordFinished(group.occurrence);
        }
    }

    /** @param task A task. @returns Whether it is done. */
    isTaskDone(task: Task): boolean {
        return this.groupsByKey.get(task.groupKey)?.done.has(task.index) ?? true;
    }

    /** @param task One of its tasks. @returns The group of the task. */
    groupOf(task: Task): TaskGroup {
        return this.groupsByKey.get(task.groupKey)!;
    }

    /** @param epoch Epoch of the leader. @returns The progress record. */
    progress(epoch: number): JobProgress {
        const runs = [...this.tasks()].flatMap(task => (task.run === undefined ? [] : [task.run.record]));
        if (isFinal(this.state)) {
            const restarted = [...this.tasks()].filter(task => task.hasLostRun && isFinishedBy(task, "done"));
            return { epoch, state: this.state, runs, tasks: restarted.map(recordOf), transfers: this.transfers };
        }
        const done: Record<string, string> = {};
        const tasks: TaskRecord[] = [];
        for (const group of this.groupsByKey.values()) {
            if (!group.done.isEmpty) {
                done[group.key] = group.done.pack();
            }
            for (const task of group.tasks) {
                const hasLoss = task.lossesInARow > 0 || task.run?.isWorkerLost === true;
                const hasProgress = task.lastRun > 0 || task.checkpoint !== "" || hasLoss;
                const isUnfinished = !group.done.has(task.index) && hasProgress;
                if (isUnfinished || task.hasLostRun || task.suspicion?.recorded !== undefined) {
                    tasks.push(recordOf(task));
                }
            }
        }
        const closed = this.closedOccurrences;
        return { epoch, state: this.state, done, runs, tasks, transfers: this.transfers, closed };
    }

    /**
     * Whether the leader of another shard can schedule it from now on: no worker can have a run of it, and all that is known of
     * its former runs is recorded.
     */
    get isTransferable(): boolean {
        if (isFinal(this.state) || this.hasRun || this.unstoredRecords > 0 || !this.isWhole) {
            return false;
        }
        for (const task of this.tasks()) {
            const isSuspected = task.suspicion !== undefined || task.lossesInARow > 0;
            if (task.hasLostRun || task.highestRun > task.lastRun || isSuspected) {
                return false;
            }
        }
        return true;
    }

    /** Whether the leader of its shard has all of its tasks. */
    get isWhole(): boolean {
        return !this.isGuest && !this.hasTaskTransfers;
    }

    /** Whether the leader of this shard gives runs to any of its tasks. */
    get hasOwnTask(): boolean {
        return !this.isGuest || [...this.tasks()].some(task => !task.isElsewhere);
    }

    /**
     * Whether the leader of another shard can give a task runs from now on. No worker can have one of it: one that was given up is
     * over, since its lease has expired or its worker does not list it. Unlike for other tasks, how it has ended does not count.
     */
    isTaskTransferable(task: Task): boolean {
        const { mode, usesSpareCpu } = task.step;
        const isOpen = !isFinal(this.state) && this.state !== "queued" && this.unstoredRecords === 0;
        return isOpen && mode === "long-running" && !usesSpareCpu && task.run === undefined && !task.isElsewhere;
    }

    /** Leaves a task to another shard. @param task A transferable task. @param shard The other shard. @returns What is recorded. */
    leaveTask(task: Task, shard: number): TaskTransfer {
        const lastRun = Math.max(task.highestRun, task.lastRun);
        const record = { ...recordOf(task), lastRun };
        task.lastRun = lastRun;
        task.highestRun = lastRun;
        task.transfers += 1;
        task.isElsewhere = true;
        this.hasTaskTransfers = true;
        this.recordChange();
        return { shard, count: task.transfers, record };
    }

    /**
     * Applies the transfer of a task, unless it is known.
     * @param name Name of the task.
     * @param transfer The transfer.
     * @param isHere Whether its shard is that of this leader.
     * @returns The task if it is here from now on.
     */
    applyTransfer(name: string, { count, record }: TaskTransfer, isHere: boolean): Task[] {
        this.open(Number(groupKeyOf(name).split(".")[0]), undefined);
        const task = this.find(name);
        if (task === undefined || count <= task.transfers) {
            return [];
        }
        task.transfers = count;
        task.isElsewhere = !isHere;
        this.hasTaskTransfers = true;
        // What a leader of this shard has recorded may be of an earlier stay, or of this one.
        if (isHere && record.lastRun > task.lastRun) {
            this.restoreTask(record);
        }
        this.recordChange();
        return isHere ? [task] : [];
    }

    /** @returns When an occurrence is due, in ms since the Unix epoch. */
    private dueMs(occurrence: number): number {
        return this.spec.occurrences === 0 ? 0 : this.spec.firstDueMs + occurrence * this.spec.intervalMs;
    }

    private groupsOf(occurrence: number): TaskGroup[] {
        return this.spec.steps.map((_, step) => this.groupsByKey.get(`${occurrence}.${step}`)!);
    }

    private open(occurrence: number, progress: JobProgress | undefined): void {
        if (this.isOpen(occurrence)) {
            return;
        }
        this.recordChange();
        this.spec.steps.forEach((step, number) => {
            const key = `${occurrence}.${number}`;
            // Earlier versions recorded long-running tasks as done.
            const recorded = step.mode === "long-running" ? undefined : progress?.done?.[key];
            const done = DoneSet.create(step.tasks, recorded);
            if (step.mode === "gang" && !done.isEmpty) {
                // Its tasks are done together, but may be in several records, of which one was not stored.
                done.addAll();
            }
            const tasks = Array.from({ length: step.tasks }, (_, index) => {
                const task = ActiveTask.create(this, step, key, index);
                task.isElsewhere = this.isGuest;
                return task;
            });
            this.groupsByKey.set(key, { key, step, occurrence, done, tasks });
            this.unfinishedGroups += done.isFull ? 0 : 1;
        });
        this.recordFinished(occurrence);
    }

    private recordFinished(occurrence: number): void {
        if (this.groupsOf(occurrence).every(each => each.done.isFull)) {
            this.finishedOccurrences.add(occurrence);
            if (this.occurrences > 1) {
                this.closing.add(occurrence);
            }
        }
    }

    private restoreTask(record: TaskRecord): void {
        const task = this.find(record.task);
        if (task !== undefined) {
            task.failures = record.failures;
            task.checkpoint = record.checkpoint;
            task.lastRun = record.lastRun;
            task.highestRun = record.lastRun;
            task.hasLostRun = record.lastRun > 0;
            task.suspicion = record.suspicion && TaskSuspicion.create(record.suspicion);
            task.lossesInARow = record.lossesInARow ?? 0;
        }
    }
}

/**
 * The highest run of a done task shows a later leader whether the end of an earlier run still counts. A run whose worker is lost
 * counts like one that has ended, so that the next leader does not count the loss again.
 */
function recordOf(task: Task): TaskRecord {
    const { name, failures, checkpoint, highestRun, hasLostRun, run } = task;
    const endedRun = run === undefined && hasLostRun ? highestRun : task.lastRun;
    const lastRun = run?.isWorkerLost === true ? run.record.run : endedRun;
    const lossesInARow = task.losses?.recorded ?? 0;
    return { task: name, failures, checkpoint, lastRun, suspicion: task.suspicion?.recorded, lossesInARow };
}

/** @returns Whether progress of a job shows that one of its tasks has run. */
function hasEnds(progress: JobProgress | undefined): boolean {
    const { done = {}, tasks = [] } = progress ?? {};
    return Object.keys(done).length > 0 || tasks.some(({ lastRun }) => lastRun > 0);
}

/** @param name Name of a task, JOB.OCCURRENCE.STEP.INDEX. @returns Key of its group, OCCURRENCE.STEP. */
function groupKeyOf(name: string): string {
    const [, occurrence, step] = name.split(".");
    return `${occurrence}.${step}`;
}

/** @param key Key of a group, OCCURRENCE.STEP. @returns Number of its occurrence. */
function occurrenceOf(key: string): number {
    return Number(key.split(".")[0]);
}

/** @param steps Steps of a job. @returns Estimated duration of the longest chain of dependent steps, in ms. */
export function criticalPathMs(steps: readonly StepSpec[]): number {
    const endsMs: number[] = [];
    for (const step of steps) {
        endsMs.push(latestMs(step.after.map(each => endsMs[each])) + step.estimateMs);
    }
    return latestMs(endsMs);
}

/** @param first Index of a step. @returns Estimated duration of it and of the steps that depend on it, in ms. */
function remainingPathMs(steps: readonly StepSpec[], first: number): number {
    const endsMs = steps.map(() => 0);
    for (let number = first; number < steps.length; number++) {
        const { after, estimateMs } = steps[number];
        const startMs = latestMs(after.map(each => endsMs[each]));
        endsMs[number] = number === first || startMs > 0 ? startMs + estimateMs : 0;
    }
    return latestMs(endsMs);
}

/** @returns The largest of some times in ms, 0 if there are none. A caller may name more of them than a call may have arguments. */
function latestMs(times: readonly number[]): number {
    return times.reduce((latest, time) => Math.max(latest, time), 0);
}
