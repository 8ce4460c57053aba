import { StepSpec } from "../../../jobs/common/jobSpec";
import { ActiveJob } from "../jobs/activeJob";
import { WorkerEntry } from "../workers/workerEntry";

/** Whether workers can run a job, by their kinds; how much of them is in use does not matter. */
export interface Suitability {
    /** Whether they can run all of its steps. */
    readonly isSuitable: boolean;
    /** Whether they can run those of its steps that are ready. */
    readonly canStart: boolean;
    /** Whether the racks that hold the data of its steps are among theirs. */
    readonly hasData: boolean;
}

/**
 * @param job A job.
 * @param workers Workers of its service that accept new tasks.
 * @returns Whether they can run it.
 */
export function suitabilityOf(job: ActiveJob, workers: readonly WorkerEntry[]): Suitability {
    const { steps } = job.spec;
    return {
        isSuitable: steps.every(step => canRun(step, workers)),
        canStart: [...job.groups].every(
            group => group.done.isFull || !job.isReady(group) || canRun(group.step, workers),
        ),
        hasData: steps.every(({ dataRack }) => dataRack === undefined || workers.some(({ rack }) => rack === dataRack)),
    };
}

/** Tasks of a gang run at the same time, others one after the other if need be. */
function canRun(step: StepSpec, workers: readonly WorkerEntry[]): boolean {
    const needed = step.mode === "gang" ? step.tasks : 1;
    let room = 0;
    for (const worker of workers) {
        room += Math.min(tasksOn(step, worker), step.maxPerWorker ?? Number.POSITIVE_INFINITY);
        if (room >= needed) {
            return true;
        }
    }
    return false;
}

/** @returns How many tasks of a step a worker has room for while it runs nothing else. */
function tasksOn({ request, requiredLabel }: StepSpec, { capacity, labels }: WorkerEntry): number {
    if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
        return 0;
    }
    const resources = ["cpuMillis", "memoryMb", "accelerators"] as const;
    const counts = resources.map(each => (request[each] === 0 ? Infinity : Math.floor(capacity[each] / request[each])));
    return Math.min(...counts);
}
