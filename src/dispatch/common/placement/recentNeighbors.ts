import { Run } from "../runs/run";
import { WorkerContact } from "../workers/workerContact";

/** CPU that the best-effort runs of each image used, as a share (0 to 1) of the worker's. */
export type NeighborShares = ReadonlyMap<string | undefined, number>;

/** Time that a report covers, in ms. */
const REPORT_PERIOD_MS = 500;

interface Neighbor {
    readonly image: string | undefined;
    share: number;
    /** Time (ms) since which it is no longer listed. */
    endedAt: number | undefined;
}

/**
 * The best-effort runs that a latency report of a worker is due to. A run that has just ended is no longer listed, but most of the
 * period that the report covers is still its doing.
 */
export class RecentNeighbors {
    private readonly neighbors = new Map<Run, Neighbor>();

    private constructor() {}

    /** @returns A record of a worker without runs. */
    static create(): RecentNeighbors {
        return new RecentNeighbors();
    }

    /**
     * Updates the record from a list.
     * @param worker The worker, with its latest list.
     * @param now Time in ms.
     * @returns What the best-effort runs used in the period of the latest reports.
     */
    update(worker: WorkerContact, now: number): NeighborShares {
        const listed = new Set<Run>(worker.runs.values());
        for (const run of listed) {
            if (run.task.step.usesSpareCpu && run.report !== undefined) {
                const share = measuredCpuShare(run, worker);
                this.neighbors.set(run, { image: run.task.step.image, share, endedAt: undefined });
            }
        }
        const shares = new Map<string | undefined, number>();
        for (const [run, neighbor] of this.neighbors) {
            neighbor.endedAt ??= listed.has(run) ? undefined : now;
            const part = neighbor.endedAt === undefined ? 1 : 1 - (now - neighbor.endedAt) / REPORT_PERIOD_MS;
            if (part <= 0) {
                this.neighbors.delete(run);
            } else {
                shares.set(neighbor.image, (shares.get(neighbor.image) ?? 0) + neighbor.share * part);
            }
        }
        return shares;
    }
}

/** @returns Share of the worker's CPU that a run used according to its latest report. */
export function measuredCpuShare(run: Run, worker: WorkerContact): number {
    return (run.report?.latencyOrUsage ?? 0) / Math.max(1, worker.entry.capacity.cpuMillis);
}
