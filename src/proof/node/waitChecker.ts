import { JobSpec, StepSpec } from "../../jobs/common/jobSpec";
import { LeasedWorker } from "../../standin/common/leasedWorker";

/** Longest time for which a job with a step that is ready may have nothing running while there is room, in ms. */
const MAX_WAIT_MS = 3_000;

/** How many tasks like the waiting one must fit into the free capacity. */
const ROOM_FOR_TASKS = 2;

/** Share of a resource of a service below which most of it is free. */
const MAX_USED_RATIO = 0.5;

const RESOURCES = ["cpuMillis", "memoryMb", "accelerators"] as const;

type FreeCapacity = Record<(typeof RESOURCES)[number], number>;

/** Checks that accepted jobs get a run within a bounded time while their service has room. */
export class WaitChecker {
    private readonly jobs = new Map<string, JobSpec>();
    private readonly runs = new Map<string, LeasedWorker>();
    private readonly completedTasks = new Set<string>();
    private readonly failures = new Map<string, number>();
    /** Time (ms) since which a job waits with room free. */
    private readonly waitingSince = new Map<string, number>();
    /** Jobs whose present wait is reported. */
    private readonly reported = new Set<string>();

    private constructor(private readonly report: (id: string, detail: string) => void) {}

    /** @param report Receives the job of a violation and what happened. @returns A checker without observations. */
    static create(report: (id: string, detail: string) => void): WaitChecker {
        return new WaitChecker(report);
    }

    /** Records that a job was submitted. */
    recordSubmission(job: JobSpec): void {
        this.jobs.set(job.id, job);
    }

    /** Records that a run starts. */
    onStart(worker: LeasedWorker, task: string): void {
        this.runs.set(task, worker);
    }

    /** Records that a run ends. */
    onEnd(task: string, end: string): void {
        this.runs.delete(task);
        if (end === "done" && !this.isLongRunning(task)) {
            this.completedTasks.add(task);
        } else if (end === "failed") {
            this.failures.set(task, (this.failures.get(task) ?? 0) + 1);
        }
    }

    private isLongRunning(task: string): boolean {
        const [id, , step] = task.split(".");
        return this.jobs.get(id)?.steps[Number(step)].mode === "long-running";
    }

    /**
     * Reviews the waits; to be called every few hundred milliseconds.
     * @param accepted Jobs that were accepted and that nobody has cancelled.
     * @param workers Workers of the service that are alive.
     * @param isCalm Whether all of them are sound and no disruption is near.
     * @param now Time in ms.
     */
    review(accepted: Iterable<string>, workers: readonly LeasedWorker[], isCalm: boolean, now: number): void {
        const free = this.freeCapacities(workers);
        const used = usedRatios(workers, free);
        // The contract does not say which resource counts, so the reading under which most waits count is checked.
        const isMostlyFree = isCalm && Math.min(used.cpuMillis, used.memoryMb) < MAX_USED_RATIO;
        const atWork = [...this.runs].filter(([, worker]) => workers.includes(worker));
        const running = new Set(atWork.map(([task]) => task.split(".")[0]));
        for (const id of accepted) {
            const steps = isMostlyFree && !running.has(id) ? this.readySteps(id) : [];
            if (!steps.some(step => hasRoom(step, free))) {
                this.waitingSince.delete(id);
                this.reported.delete(id);
                continue;
            }
            const since = this.waitingSince.get(id) ?? now;
            this.waitingSince.set(id, since);
            if (now - since > MAX_WAIT_MS && !this.reported.has(id)) {
                this.reported.add(id);
                const inUse = `${percentOf(used.cpuMillis)} of the CPU and ${percentOf(used.memoryMb)} of the memory in use`;
                this.report(
                    id,
                    `has nothing running for over ${MAX_WAIT_MS} ms although its service has room, ${inUse}`,
                );
            }
        }
    }

    private readySteps(id: string): StepSpec[] {
        const { steps, queue } = this.jobs.get(id)!;
        const hasFailed = [...this.failures].some(
            ([task, count]) => task.startsWith(`${id}.`) && count >= queue.maxAttempts,
        );
        const isComplete = (index: number) =>
            Array.from({ length: steps[index].tasks }, (_, task) => `${id}.0.${index}.${task}`).every(task =>
                this.completedTasks.has(task),
            );
        return hasFailed ? [] : steps.filter((step, index) => !isComplete(index) && step.after.every(isComplete));
    }

    /** @returns What each worker has left. */
    private freeCapacities(workers: readonly LeasedWorker[]): FreeCapacity[] {
        const free = new Map(workers.map(worker => [worker, { ...worker.entry.capacity }]));
        for (const [task, worker] of this.runs) {
            const [id, , index] = task.split(".");
            const step = this.jobs.get(id)?.steps[Number(index)];
            const left = free.get(worker);
            if (step !== undefined && left !== undefined) {
                RESOURCES.forEach(resource => (left[resource] -= requestOf(step, resource)));
            }
        }
        return [...free.values()];
    }
}

/** @returns The share of each resource that is in use, from 0 to 1. */
function usedRatios(
    workers: readonly LeasedWorker[],
    free: readonly FreeCapacity[],
): Record<"cpuMillis" | "memoryMb", number> {
    const ratioOf = (resource: "cpuMillis" | "memoryMb") => {
        const capacity = workers.reduce((sum, worker) => sum + worker.entry.capacity[resource], 0);
        const left = free.reduce((sum, each) => sum + each[resource], 0);
        return (capacity - left) / Math.max(1, capacity);
    };
    return { cpuMillis: ratioOf("cpuMillis"), memoryMb: ratioOf("memoryMb") };
}

/** @param ratio A share from 0 to 1. @returns It as text. */
function percentOf(ratio: number): string {
    return `${Math.round(100 * ratio)}%`;
}

/** Best-effort tasks reserve no CPU. */
function requestOf(step: StepSpec, resource: (typeof RESOURCES)[number]): number {
    return step.usesSpareCpu && resource === "cpuMillis" ? 0 : step.request[resource];
}

/** @returns Whether the workers have room for several tasks of a step. */
function hasRoom(step: StepSpec, free: readonly FreeCapacity[]): boolean {
    const needed = RESOURCES.filter(resource => requestOf(step, resource) > 0);
    const places = free.map(each =>
        Math.min(
            step.maxPerWorker ?? ROOM_FOR_TASKS,
            ...needed.map(resource => Math.max(0, Math.floor(each[resource] / requestOf(step, resource)))),
        ),
    );
    return places.reduce((sum, each) => sum + each, 0) >= ROOM_FOR_TASKS;
}
