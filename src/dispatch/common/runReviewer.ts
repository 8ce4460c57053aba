import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Why a run is stopped although its job goes on. */
export type MoveReason = "draining" | "slowed-down" | "stuck";

/** Time without progress after which a run is taken to be stuck, in ms. */
const STUCK_TIMEOUT_MS = 2_500;

/** Time before a draining worker leaves at which its runs are moved, in ms: they save their work as they stop. */
const DRAIN_MARGIN_MS = 900;

/** Speed, in percent, and time, in ms, from which a run is moved instead of being slowed down any longer. */
const MAX_THROTTLED_SPEED_PERCENT = 20;
const MAX_THROTTLED_MS = 1_000;

/** Moves of a task at most, so that work is not spent on moving. */
const MAX_MOVES = 4;

/** Progress, in percent, that may be lost when a run without checkpoints is moved. */
const MAX_LOST_PROGRESS_PERCENT = 15;

/** Finds runs that are better off on another worker. */
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
     * @returns Why it should be moved, or `undefined` if it should stay.
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

/** What lasts is moved at once, so that it is away only for a moment; the rest may still end before the worker leaves. */
function isDrainDue(run: Run, leavesAt: number, now: number): boolean {
    return run.task.step.mode === "long-running" || now > leavesAt - DRAIN_MARGIN_MS;
}

/** A run that harms the tasks beside it makes no progress there; elsewhere it may, and its work is saved. */
function isThrottledTooLong(run: Run, now: number): boolean {
    return (
        run.speedPercent <= MAX_THROTTLED_SPEED_PERCENT &&
        now - run.throttledAt > MAX_THROTTLED_MS &&
        run.task.moves < MAX_MOVES &&
        (run.task.step.checkpoints || (run.report?.percent ?? 0) < MAX_LOST_PROGRESS_PERCENT)
    );
}

/** Runs on spare processor time may stand still for want of any; all others make progress where the worker is sound. */
function isStuck(run: Run, now: number): boolean {
    const { mode, usesSpareCpu } = run.task.step;
    if (usesSpareCpu || run.report === undefined || now - run.reportedAt > STUCK_TIMEOUT_MS) {
        return false;
    }
    const isServing = mode === "long-running" && run.report.percent === 100;
    return !isServing && run.reportedAt - run.lastProgressAt > STUCK_TIMEOUT_MS;
}
