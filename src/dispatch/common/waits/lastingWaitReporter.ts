import { Emitter } from "../../../base/common/emitter";
import { Placer, Shortage } from "../placement/placer";
import { hasRunBefore, Task } from "../jobs/task";
import { isLongRunning } from "../jobs/taskGroups";
import { WaitingTasks } from "./waitReporter";

/** Time for which a task must have been without a run to be counted, in ms. */
const MIN_WAIT_MS = 2_000;

/** Interval between two reports of a service, in ms. */
const REPORT_INTERVAL_MS = 2_000;

/**
 * The long-running tasks of a service that wait for a run, and what the workers lack for the one that has waited longest of those that
 * ran before, or of all if none did.
 */
export interface LastingWaitReport extends Readonly<Partial<Record<Shortage, number>>> {
    readonly service: string;
    /** Number of tasks that wait, suspected ones included. */
    readonly waiting: number;
    /** Number of them that are suspected of crashing their workers. */
    readonly suspected: number;
    /** Number of them that ran before. */
    readonly interrupted: number;
    /** Task that is described, and for how long it has waited, in ms. */
    readonly task?: string;
    readonly oldestMs?: number;
    /** Whether it is suspected. */
    readonly isSuspected?: boolean;
    /** Number of runs of its job. */
    readonly siblings?: number;
    /** CPU that it requests, in thousandths of a core. */
    readonly cpuMillis?: number;
    /** Usable workers, and those of them that are given no tasks but suspected ones. */
    readonly workers?: number;
    readonly closed?: number;
}

const NONE_WAITING = { waiting: 0, suspected: 0, interrupted: 0 };

/** Tasks that wait, as the reporter sees them. */
export interface ReviewedTasks extends WaitingTasks {
    readonly isSuspected: boolean;
    readonly isThrottled: boolean;
}

interface LastingWait {
    readonly task: Task;
    readonly waitedMs: number;
    readonly isSuspected: boolean;
}

/** Reports the long-running tasks without a run, also while others of their job run: each has to run by itself. */
export class LastingWaitReporter {
    /** Services of which tasks waited in the latest review. */
    private services = new Set<string>();
    private nextReviewAt = 0;
    private readonly didWait = Emitter.create<LastingWaitReport>();
    /** Fires for each service with a task that waits, and once when none waits any more. */
    readonly onDidWait = this.didWait.event;

    private constructor() {}

    /** @returns A reporter that has seen no task. */
    static create(): LastingWaitReporter {
        return new LastingWaitReporter();
    }

    /**
     * Reviews the tasks that waited in a pass, if a review is due.
     * @param waiting The tasks. Some of them may have been placed in the pass.
     * @param idleMs Returns for how long a task has had no run at work, in ms.
     * @param placer Placer of the pass.
     * @param usableCount Number of usable workers, with those that the placer may not choose.
     * @param now Time in ms.
     */
    review(
        waiting: readonly ReviewedTasks[],
        idleMs: (entry: ReviewedTasks, task: Task) => number,
        placer: Placer,
        usableCount: number,
        now: number,
    ): void {
        if (now < this.nextReviewAt) {
            return;
        }
        this.nextReviewAt = now + REPORT_INTERVAL_MS;
        const waits = collectWaits(waiting, idleMs);
        for (const service of new Set([...this.services, ...waits.keys()])) {
            this.didWait.fire(reportOf(service, waits.get(service) ?? [], placer, usableCount));
        }
        this.services = new Set(waits.keys());
    }

    /** Reports for each service with a task that waited that none waits any more. */
    reportNone(): void {
        this.services.forEach(service => this.didWait.fire({ service, ...NONE_WAITING }));
        this.services.clear();
    }
}

function collectWaits(
    waiting: readonly ReviewedTasks[],
    idleMs: (entry: ReviewedTasks, task: Task) => number,
): Map<string, LastingWait[]> {
    const waits = new Map<string, LastingWait[]>();
    for (const entry of waiting.filter(each => isLongRunning(each) && !each.isThrottled)) {
        for (const task of entry.tasks) {
            const waitedMs = task.run === undefined ? idleMs(entry, task) : 0;
            if (waitedMs >= MIN_WAIT_MS) {
                const known = waits.get(entry.service) ?? [];
                known.push({ task, waitedMs, isSuspected: entry.isSuspected });
                waits.set(entry.service, known);
            }
        }
    }
    return waits;
}

function reportOf(
    service: string,
    waits: readonly LastingWait[],
    placer: Placer,
    usableCount: number,
): LastingWaitReport {
    const interrupted = waits.filter(({ task }) => hasRunBefore(task));
    const suspected = waits.filter(each => each.isSuspected).length;
    const counts = { service, waiting: waits.length, suspected, interrupted: interrupted.length };
    if (waits.length === 0) {
        return counts;
    }
    const described = interrupted.length > 0 ? interrupted : waits;
    const oldest = described.reduce((a, b) => (b.waitedMs > a.waitedMs ? b : a));
    const { task, waitedMs, isSuspected } = oldest;
    return {
        ...counts,
        task: task.name,
        oldestMs: Math.round(waitedMs),
        isSuspected,
        siblings: task.job.runsLike(() => true).length,
        cpuMillis: task.step.request.cpuMillis,
        workers: usableCount,
        closed: usableCount - placer.workerCount,
        ...placer.countShortages(task, service),
    };
}
