import { StepSpec } from "../../../jobs/common/jobSpec";
import { isFinal } from "../../../jobs/common/jobTable";
import { ActiveJob, TaskGroup } from "./activeJob";
import { ServiceLoad } from "../shards/serviceLoad";
import { Task } from "./task";

/** What the tasks of a job request that are ready and have no run. */
export interface JobDemand {
    /** CPU with a reservation, in thousandths of a core. */
    readonly cpuMillis: number;
    /** CPU of best-effort tasks, in thousandths of a core. */
    readonly spareCpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
    /** Number of the tasks. */
    readonly tasks: number;
    /** Whether some of the tasks run until the job is cancelled. */
    readonly isLongRunning: boolean;
}

/** @param job A job whose due occurrences are open. @returns What it waits for. */
export function demandOf(job: ActiveJob): JobDemand {
    let cpuMillis = 0;
    let spareCpuMillis = 0;
    let memoryMb = 0;
    let accelerators = 0;
    let tasks = 0;
    let isLongRunning = false;
    for (const group of job.groups) {
        const waiting = group.done.isFull || !job.isReady(group) ? 0 : countWaiting(group);
        const { request, usesSpareCpu, mode } = group.step;
        cpuMillis += usesSpareCpu ? 0 : waiting * request.cpuMillis;
        spareCpuMillis += usesSpareCpu ? waiting * request.cpuMillis : 0;
        memoryMb += waiting * request.memoryMb;
        accelerators += waiting * request.accelerators;
        tasks += waiting;
        isLongRunning ||= waiting > 0 && mode === "long-running";
    }
    return { cpuMillis, spareCpuMillis, memoryMb, accelerators, tasks, isLongRunning };
}

/** Adds what a job waits for to a load, or takes it out of it. @param load Changed by the call. @param sign 1 or -1. */
export function addDemand(load: ServiceLoad, demand: JobDemand, sign: 1 | -1 = 1): void {
    load.waitingCpuMillis = Math.max(0, load.waitingCpuMillis + sign * demand.cpuMillis);
    load.waitingSpareCpuMillis = Math.max(0, load.waitingSpareCpuMillis + sign * demand.spareCpuMillis);
    load.waitingMemoryMb = Math.max(0, load.waitingMemoryMb + sign * demand.memoryMb);
    load.waitingAccelerators = Math.max(0, load.waitingAccelerators + sign * demand.accelerators);
}

/** @param job A job. @returns The steps of its tasks that last and wait, with reserved CPU, one for each task. */
export function lastingStepsOf(job: ActiveJob): StepSpec[] {
    return waitingLastingTasks(job).map(({ step }) => step);
}

/** @param job A job. @returns Its tasks that last, with reserved CPU, and wait. */
export function waitingLastingTasks(job: ActiveJob): Task[] {
    const tasks: Task[] = [];
    for (const group of job.isLongRunning && !isFinal(job.state) ? job.groups : []) {
        const { mode, usesSpareCpu } = group.step;
        if (mode === "long-running" && !usesSpareCpu && job.isReady(group)) {
            tasks.push(...group.tasks.filter(task => isWaiting(task, group)));
        }
    }
    return tasks;
}

function countWaiting(group: TaskGroup): number {
    let count = 0;
    for (const task of group.tasks) {
        count += isWaiting(task, group) ? 1 : 0;
    }
    return count;
}

function isWaiting({ run, isElsewhere, index }: Task, { done }: TaskGroup): boolean {
    return run === undefined && !isElsewhere && !done.has(index);
}
