import { StepSpec } from "../../../jobs/common/jobSpec";
import { TaskGroup } from "../jobs/activeJob";
import { Run } from "../runs/run";
import { WorkerContact } from "../workers/workerContact";

/** Time constant of the measured demand, in ms: a few times the duration of a short task. */
const DEMAND_WINDOW_MS = 10_000;

/**
 * Shortest time that tasks are expected to hold their CPU beyond their estimated duration, in ms: their start is in flight, and their
 * end is unread. Estimates that are too long say nothing about the next tasks.
 */
const MIN_OVERHEAD_MS = 300;

/** Weight of the latest task in the measured overhead. */
const SMOOTHING_RATIO = 0.05;

/** Ratio of the reserve to the measured demand: short tasks arrive in bursts. */
const PEAK_RATIO = 0.9;

/** Share of the CPU of a service that is reserved before any demand was measured. */
const INITIAL_RESERVE_RATIO = 0.04;

/** Time after which the measured demand replaces the initial reserve, in ms. */
const MIN_OBSERVATION_MS = 3_000;

/** Largest share of the CPU and of the workers of a service that is reserved; none of a few workers. */
const MAX_RESERVE_RATIO = 0.2;

/** Demand for CPU by the short tasks of one service. */
interface ServiceDemand {
    /** Work that became ready, decayed over the window, in thousandths of a core x ms. */
    work: number;
    updatedAt: number;
    readonly since: number;
    /** Mean time for which tasks held their CPU beyond their estimated duration, in ms; negative if estimates are too long. */
    overheadMs: number;
}

/**
 * Chooses workers on which no new long-running tasks are placed.
 *
 * Load pattern: long-running tasks arrive steadily and stay for minutes, until they hold nearly all CPU. Short tasks,
 * which would release theirs within a second, then wait for each other and miss their objectives. The CPU that is kept
 * for them follows their measured demand, and for how long they hold it, which depends on the leader, too. It is kept on
 * few workers, because wide tasks do not fit into small remainders on all of them.
 */
export class ShortTaskReserve {
    private readonly demands = new Map<string, ServiceDemand>();
    /** Groups whose demand is recorded. */
    private readonly recordedGroups = new WeakSet<TaskGroup>();

    private constructor() {}

    /** @returns A reserve without measured demand. */
    static create(): ShortTaskReserve {
        return new ShortTaskReserve();
    }

    /** Records a group that is ready, if its tasks are short. @param service Service whose workers run them. @param now Time in ms. */
    recordReady(group: TaskGroup, service: string, now: number): void {
        const { request, tasks, estimateMs } = group.step;
        if (isShort(group.step) && !this.recordedGroups.has(group)) {
            this.recordedGroups.add(group);
            this.recordDemand(service, request.cpuMillis * tasks, estimateMs, now);
        }
    }

    /** Records the end of a run, if its task is short. @param service Service whose worker ran it. @param now Time in ms. */
    recordEnd(run: Run, service: string, now: number): void {
        const { step } = run.task;
        // A leader that has inherited a run does not know when its worker was chosen.
        if (isShort(step) && !run.isInherited) {
            this.recordHolding(service, step.estimateMs, now - run.assignedAt, now);
        }
    }

    /**
     * Records short tasks that became ready.
     * @param service Service whose workers run them.
     * @param cpuMillis Requested CPU of all tasks, in thousandths of a core.
     * @param estimateMs Estimated duration of a task, in ms.
     * @param now Time in ms.
     */
    recordDemand(service: string, cpuMillis: number, estimateMs: number, now: number): void {
        const demand = this.demandOf(service, now);
        demand.work =
            decayedWork(demand, now) + cpuMillis * (estimateMs + Math.max(MIN_OVERHEAD_MS, demand.overheadMs));
        demand.updatedAt = now;
    }

    /**
     * Records for how long a short task held its CPU: while its start was in flight, while it ran, and until its end was read.
     * @param service Service whose worker ran it.
     * @param estimateMs Its estimated duration, in ms.
     * @param heldMs Time from the choice of its worker until its end was read, in ms.
     * @param now Time in ms.
     */
    recordHolding(service: string, estimateMs: number, heldMs: number, now: number): void {
        const demand = this.demandOf(service, now);
        demand.overheadMs += SMOOTHING_RATIO * (heldMs - estimateMs - demand.overheadMs);
    }

    /**
     * @param workers Usable workers.
     * @param now Time in ms.
     * @returns The workers of each service with the least CPU held by long-running tasks, as many as the reserve needs.
     */
    choose(workers: readonly WorkerContact[], now: number): Set<WorkerContact> {
        const byService = new Map<string, WorkerContact[]>();
        for (const worker of workers) {
            const { service } = worker.entry;
            const known = byService.get(service) ?? [];
            known.push(worker);
            byService.set(service, known);
        }
        return new Set([...byService].flatMap(([service, each]) => this.chooseOf(service, each, now)));
    }

    private chooseOf(service: string, workers: readonly WorkerContact[], now: number): WorkerContact[] {
        const totalMillis = workers.reduce((sum, worker) => sum + worker.entry.capacity.cpuMillis, 0);
        let missingMillis = Math.min(this.neededMillis(service, totalMillis, now), totalMillis * MAX_RESERVE_RATIO);
        const candidates = workers
            .map(worker => ({ worker, freeMillis: worker.entry.capacity.cpuMillis - longRunningMillis(worker) }))
            .sort((a, b) => b.freeMillis - a.freeMillis || compareIds(a.worker, b.worker));
        const maxWorkers = Math.floor(workers.length * MAX_RESERVE_RATIO);
        const chosen: WorkerContact[] = [];
        for (const { worker, freeMillis } of candidates) {
            if (missingMillis <= 0 || chosen.length >= maxWorkers) {
                break;
            }
            missingMillis -= freeMillis;
            chosen.push(worker);
        }
        return chosen;
    }

    private neededMillis(service: string, totalMillis: number, now: number): number {
        const demand = this.demandOf(service, now);
        const observedMs = now - demand.since;
        if (observedMs < MIN_OBSERVATION_MS) {
            return totalMillis * INITIAL_RESERVE_RATIO;
        }
        // At the beginning, the decayed sum covers less than the window.
        const coveredMs = DEMAND_WINDOW_MS * (1 - Math.exp(-observedMs / DEMAND_WINDOW_MS));
        return (PEAK_RATIO * decayedWork(demand, now)) / coveredMs;
    }

    private demandOf(service: string, now: number): ServiceDemand {
        const known = this.demands.get(service);
        if (known !== undefined) {
            return known;
        }
        const demand = { work: 0, updatedAt: now, since: now, overheadMs: MIN_OVERHEAD_MS };
        this.demands.set(service, demand);
        return demand;
    }
}

/** Whether the tasks of a step release the CPU that is reserved for them soon. */
function isShort({ mode, usesSpareCpu }: StepSpec): boolean {
    return mode !== "long-running" && !usesSpareCpu;
}

function decayedWork(demand: ServiceDemand, now: number): number {
    return demand.work * Math.exp((demand.updatedAt - now) / DEMAND_WINDOW_MS);
}

function longRunningMillis(worker: WorkerContact): number {
    let sum = 0;
    for (const { task } of worker.runs.values()) {
        const { mode, request, usesSpareCpu } = task.step;
        sum += mode === "long-running" && !usesSpareCpu ? request.cpuMillis : 0;
    }
    return sum;
}

/** Among equals, the same workers are chosen in each pass. */
function compareIds(a: WorkerContact, b: WorkerContact): number {
    return a.entry.id < b.entry.id ? -1 : 1;
}
