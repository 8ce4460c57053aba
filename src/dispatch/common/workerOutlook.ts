import { expectedShare, LatencyModel } from "./latencyModel";
import { FreeCapacity, WorkerContact } from "./workerContact";

/** A task that serves on a worker, and the headroom that it has beside what runs there. */
export interface ServingOutlook {
    readonly image: string | undefined;
    readonly cpuMillis: number;
    readonly headroom: number;
    /** Change of the headroom per second, if it falls. */
    readonly decline: number;
    readonly lowestHeadroom: number;
}

/** What a placement on a worker has to account for. */
export interface WorkerOutlook {
    readonly room: FreeCapacity;
    readonly serving: readonly ServingOutlook[];
}

/**
 * @param worker A worker.
 * @param model Knows the pressures between images.
 * @returns What a placement there has to account for.
 */
export function outlookOf(worker: WorkerContact, model: LatencyModel): WorkerOutlook {
    const serving: ServingOutlook[] = [];
    for (const run of worker.runs.values()) {
        const { image, request, tailTargetMs } = run.task.step;
        if (tailTargetMs !== undefined) {
            const base = model.base(run);
            const loss = model.pressureOn(run, worker, each => expectedShare(each, worker));
            serving.push({
                image,
                cpuMillis: request.cpuMillis,
                headroom: base.headroom - loss,
                decline: Math.min(0, base.trend),
                lowestHeadroom: base.lowest - loss,
            });
        }
    }
    return { room: worker.freeCapacity(), serving };
}
