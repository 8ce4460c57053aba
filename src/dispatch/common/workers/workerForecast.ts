import { expectedCpuShare, LatencyModel } from "../placement/latencyModel";
import { FreeCapacity, WorkerContact } from "./workerContact";

/** A latency-critical task on a worker, and its expected headroom next to the current runs. */
export interface LatencyForecast {
    readonly image: string | undefined;
    readonly cpuMillis: number;
    readonly headroom: number;
    /** Change of the headroom per second while it falls, otherwise 0. */
    readonly declinePerS: number;
    /** Headroom at the recent peak of the load. */
    readonly minHeadroom: number;
}

/** Free capacity and latency-critical tasks of a worker, as input to a placement. */
export interface WorkerForecast {
    readonly freeCapacity: FreeCapacity;
    readonly latencyCritical: readonly LatencyForecast[];
}

/**
 * @param worker A worker.
 * @param model Estimates the interference between images.
 * @returns The forecast for a placement on it.
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
                minHeadroom: baseline.minHeadroom - loss,
            });
        }
    }
    return { freeCapacity: worker.freeCapacity(), latencyCritical };
}
