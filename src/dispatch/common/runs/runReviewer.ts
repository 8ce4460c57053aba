import { Run } from "./run";
import { WorkerContact } from "../workers/workerContact";

/** Why a run is stopped and its task started again on another worker, wherever that is. */
export type MoveReason = "draining" | "stuck";

/** Time without progress after which a run counts as stuck, in ms. */
const STUCK_TIMEOUT_MS = 2_500;

/** Time before a draining worker leaves at which its runs are moved, in ms: they write a checkpoint as they stop. */
const DRAIN_MARGIN_MS = 900;

/** A run that is throttled to this speed or below may be moved. */
const MAX_THROTTLED_SPEED_PERCENT = 20;

/** Time for which a run must have been throttled before its task moves for the first time, in ms. It doubles with each move. */
const MIN_THROTTLED_MS = 1_000;

/** Limit of that time, in ms. */
const MAX_THROTTLED_MS = 16_000;

/** Progress that may be lost by moving a run without checkpoints, in percent. */
const MAX_LOST_PROGRESS_PERCENT = 15;

/** Decides which runs are moved to another worker. */
export class RunReviewer {
    private constructor() {}

    /** @returns The reviewer. */
    static create(): RunReviewer {
        return new RunReviewer();
    }

    /**
     * @param run A run.
     * @param worker Its worker.
     * @param now Time in ms.
     * @returns Why it should not stay on its worker, or `undefined` if it may.
     */
    reasonToMove(run: Run, worker: WorkerContact, now: number): MoveReason | undefined {
        if (run.state !== "running") {
            return undefined;
        }
        if (worker.leavesAt !== undefined && isDrainDue(run, worker.leavesAt, now)) {
            return "draining";
        }
        return isStuck(run, now) ? "stuck" : undefined;
    }

    /** @returns Whether a run may count as slowed down before its speed changes. */
    isThrottled(run: Run): boolean {
        return run.speedPercent <= MAX_THROTTLED_SPEED_PERCENT;
    }

    /**
     * A run that interferes with its neighbors makes little progress while throttled; on another worker it may run faster.
     * It is moved only if checkpoints save its work or little work would be lost.
     * @param run A run.
     * @param now Time in ms.
     * @returns Whether it has been throttled for so long that its task should move if a worker offers a higher speed.
     */
    isSlowedDown(run: Run, now: number): boolean {
        const throttledMs = Math.min(MAX_THROTTLED_MS, MIN_THROTTLED_MS * 2 ** run.task.moves);
        return (
            run.state === "running" &&
            this.isThrottled(run) &&
            now - run.throttledAt > throttledMs &&
            losesLittleWork(run)
        );
    }

    /** @returns Whether a run may be stopped for a task that lasts: it is a short best-effort one, and loses little work. */
    isPreemptible(run: Run): boolean {
        const { usesSpareCpu, mode } = run.task.step;
        return run.state === "running" && usesSpareCpu && mode === "independent" && losesLittleWork(run);
    }
}

function losesLittleWork({ task, report }: Run): boolean {
    return task.step.checkpoints || (report?.percent ?? 0) < MAX_LOST_PROGRESS_PERCENT;
}

/** Long-running tasks move at once, to keep their interruption short; others may still end before the worker leaves. */
function isDrainDue(run: Run, leavesAt: number, now: number): boolean {
    return run.task.step.mode === "long-running" || now > leavesAt - DRAIN_MARGIN_MS;
}

/** Best-effort runs may make no progress for lack of CPU; others always make progress on a healthy worker. */
function isStuck(run: Run, now: number): boolean {
    const { mode, usesSpareCpu } = run.task.step;
    if (usesSpareCpu || run.report === undefined || now - run.reportedAt > STUCK_TIMEOUT_MS) {
        return false;
    }
    const isServing = mode === "long-running" && run.report.percent === 100;
    return !isServing && run.reportedAt - run.lastProgressAt > STUCK_TIMEOUT_MS;
}
