import { expectedCpuShare, LatencyModel } from "./latencyModel";
import { FreeCapacity, WorkerContact } from "./workerContact";

/** A task that serves on a worker, and the headroom that it has beside what runs there. */
export interface LatencyForecast {
    readonly image: string | undefined;
    readonly cpuMillis: number;
    readonly headroom: number;
    /** Change of the headroom per second, if it falls. */
    readonly declinePerS: number;
    readonly minHeadroom: number;
}

/** What a placement on a worker has to account for. */
export interface WorkerForecast {
    readonly freeCapacity: FreeCapacity;
    readonly latencyCritical: readonly LatencyForecast[];
}

/**
 * @param worker A worker.
 * @param model Knows the pressures between images.
 * @returns What a placement there has to account for.
 */
export function forecastFor(worker: WorkerContact, model: LatencyModel): WorkerForecast {
    const latencyCritical: LatencyForecast[] = [];
    for (const run of worker.runs.values()) {
        const { image, request, tailTargetMs } = run.task.step;
        if (tailTargetMs !== undefined) {
            const baseline = model.baseline(run);
            const loss = model.totalInterference(run, worker, each => expectedCpuShare(each, worker));
            latencyCritical.push({
                image,
                cpuMillis: request.cpuMillis,
                headroom: baseline.headroom - loss,
                declinePerS: Math.min(0, baseline.trendPerS),
                minHeadroom: baseline.min - loss,
            });
        }
    }
    return { freeCapacity: worker.freeCapacity(), latencyCritical };
}
