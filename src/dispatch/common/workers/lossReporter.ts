import { Run } from "../runs/run";
import { WorkerContact } from "./workerContact";
import { RunList, startKeyOf } from "./workerMessages";
import type { WorkerLossCause } from "./workerPool";

/**
 * Called when a worker was lost that was not leaving, before its runs end.
 * @param worker The worker.
 * @param runs The runs that were lost with it; not empty.
 * @param cause How it was lost.
 */
export type WorkerLossListener = (worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause) => void;

/** Decides which runs were lost with their workers, and reports each of them once. */
export class LossReporter {
    private constructor(private readonly onWorkerLost: WorkerLossListener) {}

    /** @param onWorkerLost Called when a worker was lost. @returns The reporter. */
    static create(onWorkerLost: WorkerLossListener): LossReporter {
        return new LossReporter(onWorkerLost);
    }

    /**
     * Reports the runs that were lost with a former incarnation of their worker. An earlier leader may have started them there without
     * this one ever having seen it.
     * @param worker The worker.
     * @param list A list of it. A run in it has reached the incarnation that is listed, so it was not lost with a former one.
     * @param incarnation That incarnation.
     */
    reportRestart(worker: WorkerContact, { running, ended }: RunList, incarnation: number): void {
        const former = [...worker.runs.values()].filter(run => run.record.incarnation < incarnation);
        const listed = new Set([...running, ...ended].map(startKeyOf));
        former.forEach(run => run.updateIncarnation(incarnation));
        const lost = former.filter(run => !listed.has(startKeyOf(run.record)));
        this.report(worker, lost, "restarted");
    }

    /**
     * Reports the loss of a worker. Runs whose lease expires on a worker that is only out of reach have ended, and did not crash it.
     * @param runs Its runs.
     * @param cause How it was lost.
     */
    report(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void {
        const lost = runs.filter(run => run.isSent && !run.isWorkerLost);
        const isOutOfReach = cause === "lease-expired" && worker.isOutOfReach;
        if (lost.length > 0 && worker.leavesAt === undefined && !isOutOfReach) {
            lost.forEach(run => (run.isWorkerLost = true));
            this.onWorkerLost(worker, lost, cause);
        }
    }
}
