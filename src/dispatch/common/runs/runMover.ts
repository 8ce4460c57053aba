import { Run } from "./run";
import { MoveReason, RunReviewer } from "./runReviewer";
import { WorkerContact } from "../workers/workerContact";

/** Stops a run, so that its task starts on another worker. */
export type StopRun = (run: Run, reason: MoveReason, now: number) => void;

/**
 * Stops the runs that should not stay on their workers. Whether a run is stuck changes only with an answer of its worker, so
 * each worker is reviewed once after an answer, and while it drains in each tick.
 */
export class RunMover {
    private readonly reviewer = RunReviewer.create();
    private readonly due = new Set<WorkerContact>();

    private constructor(private readonly stop: StopRun) {}

    /** @param stop Stops a run. @returns The mover, with nothing to review. */
    static create(stop: StopRun): RunMover {
        return new RunMover(stop);
    }

    /** Reviews a worker in the next tick: it has answered, or its entry was read. */
    review(worker: WorkerContact): void {
        this.due.add(worker);
    }

    /** Reviews what is due. @param now Time in ms. */
    tick(now: number): void {
        for (const worker of this.due) {
            for (const run of worker.runs.values()) {
                this.reviewRun(run, worker, now);
            }
            if (worker.leavesAt === undefined || worker.runs.size === 0) {
                this.due.delete(worker);
            }
        }
    }

    private reviewRun(run: Run, worker: WorkerContact, now: number): void {
        const reason = this.reviewer.reasonToMove(run, worker, now);
        if (reason === undefined) {
            return;
        }
        if (reason === "stuck") {
            worker.trust.recordFailure({ now, familyFailureRate: 0 });
            run.task.failedOn.add(worker.entry.id);
        }
        this.stop(run, reason, now);
    }
}
