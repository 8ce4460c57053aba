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

/** What a list shows of the incarnation that states it. */
export interface IncarnationList extends Pick<RunList, "running" | "ended"> {
    readonly incarnation: number;
}

/** Decides which runs were lost with their workers, and reports each of them once. */
export class LossReporter {
    /** Runs whose leases have expired on workers that do not answer, and that are not given up yet. */
    private readonly expired = new WeakMap<WorkerContact, readonly Run[]>();

    private constructor(private readonly onWorkerLost: WorkerLossListener) {}

    /** @param onWorkerLost Called when a worker was lost. @returns The reporter. */
    static create(onWorkerLost: WorkerLossListener): LossReporter {
        return new LossReporter(onWorkerLost);
    }

    /**
     * Reports the runs that were lost with a former incarnation of their worker. An earlier leader may have started them there without
     * this one ever having seen it. A run in the list is on the listed incarnation.
     * @param worker The worker.
     * @param list A list of it.
     * @param now Time in ms.
     */
    reportRestart(worker: WorkerContact, { running, ended, incarnation }: IncarnationList, now: number): void {
        const runs = [...worker.runs.values()];
        const isFormer = (run: Run) => run.record.incarnation !== incarnation;
        const reports = new Map(running.map(each => [startKeyOf(each), each]));
        const endedKeys = new Set(ended.map(startKeyOf));
        const isOnListed = (run: Run) => {
            const key = startKeyOf(run.record);
            return reports.has(key) || endedKeys.has(key);
        };
        const lost = [...this.takeExpired(worker), ...runs.filter(isLoss)].filter(
            run => isFormer(run) && !isOnListed(run),
        );
        for (const run of runs.filter(isFormer)) {
            run.updateIncarnation(incarnation);
            const listed = reports.get(startKeyOf(run.record));
            if (listed !== undefined) {
                run.recordReport(listed, now);
            }
        }
        this.report(worker, lost, "restarted");
    }

    /** Reports all runs of a worker: another one answers at its address. */
    reportReplacement(worker: WorkerContact): void {
        this.report(worker, [...this.takeExpired(worker), ...[...worker.runs.values()].filter(isLoss)], "replaced");
    }

    /**
     * Reports the runs of a worker that is given up, since it does not answer and its lease has expired. Its long-running tasks, whose
     * runs end earlier, are lost together with the others. Runs on a worker that is only out of reach did not crash it.
     * @param worker A worker that does not answer, before its runs end.
     * @param now Time in ms.
     */
    reportExpiry(worker: WorkerContact, now: number): void {
        const runs = [...this.takeExpired(worker), ...worker.expiredRuns(now).filter(isLoss)];
        if (!worker.isGivenUp(now)) {
            this.expired.set(worker, runs);
        } else if (!worker.isOutOfReach) {
            this.report(worker, runs, "lease-expired");
        }
    }

    private takeExpired(worker: WorkerContact): readonly Run[] {
        const runs = this.expired.get(worker) ?? [];
        this.expired.delete(worker);
        return runs;
    }

    private report(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void {
        if (runs.length > 0 && worker.leavesAt === undefined) {
            runs.forEach(run => (run.isWorkerLost = true));
            this.onWorkerLost(worker, runs, cause);
        }
    }
}

/** @returns Whether a run is lost with its worker, and that was not reported before. */
function isLoss(run: Run): boolean {
    return run.isSent && !run.isWorkerLost;
}
