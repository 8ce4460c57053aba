import { ActiveJob, TaskGroup } from "./activeJob";
import { BoundedWaitPolicy } from "./boundedWaitPolicy";
import { PatientWaitPolicy } from "./patientWaitPolicy";
import { Run } from "./run";
import { ServiceRoom, ServiceUsage } from "./serviceRoom";
import { Task } from "./task";
import { isAtWork, WaitTable } from "./waitTable";
import { WorkerContact } from "./workerContact";

/** Time within which a start is answered by a worker that can be reached, in ms; the leader may be late. */
const START_ANSWER_MS = 2_500;

/** Bounds the time for which jobs have nothing running: decides what their tasks accept, and which go before all others. */
export class WaitController {
    private readonly waits = WaitTable.create();
    private readonly room = ServiceRoom.create();
    private readonly bounded = BoundedWaitPolicy.create();
    private readonly patient = PatientWaitPolicy.create();
    /** Time (ms) of the first review of the workers. */
    private startedAt: number | undefined;

    private constructor() {}

    /** @returns A controller that has seen no job. */
    static create(): WaitController {
        return new WaitController();
    }

    /** Reviews the workers once in a pass. @param workers Usable workers. @param now Time in ms. */
    updateRoom(workers: readonly WorkerContact[], now: number): void {
        this.startedAt ??= now;
        this.room.update(workers, now);
    }

    /** Reviews a job once in a pass. @param groups Its groups that are ready and not finished. */
    updateJob(job: ActiveJob, groups: readonly TaskGroup[], now: number, wallNow: number): void {
        this.waits.update(job, groups, now, wallNow);
    }

    /** Records that a task was assigned: it takes room of its service. */
    recordAssignment(task: Task, service: string, now: number): void {
        this.room.recordAssignment(task, service, now);
    }

    /** @returns Time for which a waiting task of a group has had no run at work, in ms. */
    waitedMs(group: TaskGroup, task: Task, now: number): number {
        return this.waits.waitedMs(group, task, now);
    }

    /** @returns Time for which a service has had room, in ms, or `undefined` if it has none. */
    roomMs(service: string, now: number): number | undefined {
        return this.room.roomMs(service, now);
    }

    /** @returns How much of a service's capacity is in use. */
    usage(service: string): ServiceUsage {
        return this.room.usage(service);
    }

    /** @returns Whether a waiting task goes before all others: its job has to have a run soon, and its service has room. */
    isDue(group: TaskGroup, task: Task, service: string, now: number): boolean {
        return this.bounded.isDue(this.waitedWithRoomMs(group, task, service, now)) && !hasOtherRun(task, now);
    }

    /**
     * @returns Lowest speed at which a waiting task may start, in percent of full speed, or `ANY_WORKER_PERCENT`. It falls with
     * the wait, so that tasks start where they run fastest, and the time without any run is bounded while workers have room.
     */
    minSpeedPercent(group: TaskGroup, task: Task, service: string, now: number): number {
        if (!group.step.usesSpareCpu) {
            return 100;
        }
        const bounded = this.bounded.minSpeedPercent(this.waitedWithRoomMs(group, task, service, now));
        const patient = this.patient.minSpeedPercent(this.waitedUnderLeaderMs(group, task, now));
        return Math.min(
            bounded < 100 && !hasOtherRun(task, now) ? bounded : 100,
            patient < 100 && (group.step.mode === "long-running" || !task.job.hasRun) ? patient : 100,
        );
    }

    /** Starts below full speed are work for a leader that has just begun, so without room the wait begins with it. */
    private waitedUnderLeaderMs(group: TaskGroup, task: Task, now: number): number {
        return Math.min(this.waitedMs(group, task, now), now - (this.startedAt ?? now));
    }

    private waitedWithRoomMs(group: TaskGroup, task: Task, service: string, now: number): number {
        return Math.min(this.waitedMs(group, task, now), this.roomMs(service, now) ?? 0);
    }
}

/** @returns Whether a task need not start soon, since its job has another run that is at work or about to be. */
function hasOtherRun(task: Task, now: number): boolean {
    return task.step.mode !== "long-running" && task.job.hasRunLike(run => isAtWork(run, now) || isStarting(run, now));
}

/** @returns Whether a run may soon be at work: the answer to its start, or the first list of its worker, is not overdue. */
function isStarting(run: Run, now: number): boolean {
    return run.report === undefined && run.state !== "unconfirmed" && now - run.changedAt <= START_ANSWER_MS;
}
