import { TaskGroup } from "../jobs/activeJob";
import { Placer } from "./placer";
import { QueueHost } from "../waits/queueHost";
import { Run } from "../runs/run";
import { RunReviewer } from "../runs/runReviewer";
import { hasRunBefore, Task } from "../jobs/task";
import { isLongRunning } from "../jobs/taskGroups";
import { WorkerContact } from "../workers/workerContact";

/** Tasks of one group that have to run soon, and the service whose workers may run them. */
export interface DueTasks {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    readonly service: string;
}

/**
 * Keeps room for long-running tasks that have to run soon and for which no worker has room: others would fill each gap that is too
 * small. Where one that has lost its run lacks only memory, best-effort runs are stopped.
 */
export class RoomKeeper {
    private readonly reviewer = RunReviewer.create();

    private constructor() {}

    /** @returns A keeper, which keeps no room between passes. */
    static create(): RoomKeeper {
        return new RoomKeeper();
    }

    /**
     * Keeps room for the rest of a pass.
     * @param due The tasks, of which some may have been assigned and not all are long-running.
     * @param placer Places the tasks of the pass.
     * @param host Stops runs.
     * @param now Time in ms.
     */
    keep(due: readonly DueTasks[], placer: Placer, host: QueueHost, now: number): void {
        for (const { tasks, service } of due.filter(isLongRunning)) {
            tasks
                .filter(task => task.run === undefined)
                .forEach(task => this.keepFor(task, service, placer, host, now));
        }
    }

    /** A task that never ran leaves the CPU that is reserved for short tasks to them. */
    private keepFor(task: Task, service: string, placer: Placer, host: QueueHost, now: number): void {
        const hasRun = hasRunBefore(task);
        const held = placer.holdRoom(task, service, hasRun);
        if (held !== undefined && hasRun && held.missing.cpuMillis === 0) {
            this.runsToStop(held.worker, held.missing.memoryMb).forEach(run => host.preempt(run, now));
        }
    }

    /** @returns Runs that save their work, the slowest first, until enough memory is free; none if they do not have as much. */
    private runsToStop(worker: WorkerContact, missingMb: number): Run[] {
        const candidates = [...worker.runs.values()].filter(run => this.reviewer.isPreemptible(run));
        candidates.sort((a, b) => a.speedPercent - b.speedPercent);
        let leftMb = missingMb;
        const stopped = candidates.filter(run => {
            const isNeeded = leftMb > 0;
            leftMb -= isNeeded ? run.task.step.request.memoryMb : 0;
            return isNeeded;
        });
        return leftMb > 0 ? [] : stopped;
    }
}
