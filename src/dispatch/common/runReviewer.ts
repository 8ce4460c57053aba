import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Why a run is stopped and its task started again on another worker. */
export type MoveReason = "draining" | "slowed-down" | "stuck";

/** Time without progress after which a run counts as stuck, in ms. */
const STUCK_TIMEOUT_MS = 2_500;

/** Time before a draining worker leaves at which its runs are moved, in ms: they write a checkpoint as they stop. */
const DRAIN_MARGIN_MS = 900;

/** A run that is throttled to this speed or below for longer than this time is moved. */
const MAX_THROTTLED_SPEED_PERCENT = 20;
const MAX_THROTTLED_MS = 1_000;

/** Limits how often a throttled task is moved, since each move costs work. */
const MAX_MOVES = 4;

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
     * @returns Why it should be moved, or `undefined` to leave it where it is.
     */
    reasonToMove(run: Run, worker: WorkerContact, now: number): MoveReason | undefined {
        if (run.state !== "running") {
            return undefined;
        }
        if (worker.leavesAt !== undefined && isDrainDue(run, worker.leavesAt, now)) {
            return "draining";
        }
        if (isThrottledTooLong(run, now)) {
            return "slowed-down";
        }
        return isStuck(run, now) ? "stuck" : undefined;
    }
}

/** Long-running tasks move at once, to keep their interruption short; others may still end before the worker leaves. */
function isDrainDue(run: Run, leavesAt: number, now: number): boolean {
    return run.task.step.mode === "long-running" || now > leavesAt - DRAIN_MARGIN_MS;
}

/**
 * A run that interferes with its neighbors makes little progress while throttled; on another worker it may run faster.
 * It is moved only if checkpoints save its work or little work would be lost.
 */
function isThrottledTooLong(run: Run, now: number): boolean {
    return (
        run.speedPercent <= MAX_THROTTLED_SPEED_PERCENT &&
        now - run.throttledAt > MAX_THROTTLED_MS &&
        run.task.moves < MAX_MOVES &&
        (run.task.step.checkpoints || (run.report?.percent ?? 0) < MAX_LOST_PROGRESS_PERCENT)
    );
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
