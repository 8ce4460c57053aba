import { StepSpec } from "../../../jobs/common/jobSpec";
import { addLoad, emptyLoad, percentOf, ServiceLoad } from "../shards/serviceLoad";
import { Task } from "../jobs/task";
import { WorkerContact } from "./workerContact";

/** Interval between two reviews, in ms, since each visits all runs. */
const REVIEW_INTERVAL_MS = 200;

/** Shares of a service's capacity that are in use, in percent. */
export interface UsageReport {
    /** Without best-effort tasks. */
    readonly cpuUsedPercent: number | undefined;
    readonly memoryUsedPercent: number | undefined;
    /** Memory of throttled runs, each by how far it is throttled. */
    readonly memoryIdlePercent: number | undefined;
}

/** Shares of a service's capacity that are in use, from 0 to 1. */
export interface UsedRatios {
    /** Without best-effort tasks. */
    readonly cpu: number;
    /** Memory of throttled runs, each by how far it is throttled: it does little work, and is not free for long. */
    readonly idleMemory: number;
}

/** Returns the loads of a service on workers of other leaders. */
export type LoadsElsewhere = (service: string) => Iterable<ServiceLoad>;

/** Of a service without runs. */
export const UNUSED: UsedRatios = { cpu: 0, idleMemory: 0 };

/** Load of a service that no other leader has workers of. */
const NOTHING: Readonly<ServiceLoad> = emptyLoad();

/** Of a service of which nothing is known. */
const FULL: UsedRatios = { cpu: 1, idleMemory: 1 };

/**
 * Knows how much of each service is in use, as its callers see it: of all workers that are registered, whether or not the leader
 * can use them at the moment.
 */
export class ServiceUsage {
    private totals = new Map<string, ServiceLoad>();
    /** Loads on workers of other leaders, as of the latest review. */
    private readonly elsewhere = new Map<string, ServiceLoad>();
    private reviewedAt: number | undefined;

    private constructor(private readonly loadsElsewhere: LoadsElsewhere) {}

    /**
     * @param loadsElsewhere Returns the loads of a service on workers of other leaders; there are none if undefined.
     * @returns A table that has seen no worker.
     */
    static create(loadsElsewhere: LoadsElsewhere = () => []): ServiceUsage {
        return new ServiceUsage(loadsElsewhere);
    }

    /**
     * Reviews the services if a review is due.
     * @param workers All workers.
     * @param now Time in ms.
     */
    update(workers: Iterable<WorkerContact>, now: number): void {
        if (this.reviewedAt !== undefined && now - this.reviewedAt < REVIEW_INTERVAL_MS) {
            return;
        }
        this.reviewedAt = now;
        this.totals = new Map();
        for (const worker of workers) {
            if (worker.isRegistered) {
                this.add(worker);
            }
        }
        this.elsewhere.clear();
        for (const service of this.totals.keys()) {
            const sum = emptyLoad();
            const loads = [...this.loadsElsewhere(service)];
            loads.forEach(load => addLoad(sum, load));
            if (loads.length > 0) {
                this.elsewhere.set(service, sum);
            }
        }
    }

    /** Records that a task was assigned to a worker after the latest review. @param speedPercent Its speed, in percent. */
    recordAssignment({ step }: Task, service: string, speedPercent: number): void {
        const own = this.totals.get(service);
        if (own !== undefined) {
            addRequest(own, step, speedPercent);
        }
    }

    /** What is in use of each service, without what waits. */
    get loads(): ReadonlyMap<string, ServiceLoad> {
        return this.totals;
    }

    /**
     * Callers do not know of shards, so a service has room if it has room as a whole, also while one shard is full.
     * @returns How much of a service's capacity is in use, on the workers of this leader or on all if that is less; all of it if
     * nothing is known of the service.
     */
    ratiosOf(service: string): UsedRatios {
        const own = this.totals.get(service);
        if (own === undefined) {
            return FULL;
        }
        const other = this.elsewhere.get(service);
        return other === undefined ? usedRatios(own) : leastRatios(usedRatios(own), usedRatios(own, other));
    }

    /** @returns How much of a service's capacity is in use, as far as it is known. */
    reportOf(service: string): UsageReport {
        const own = this.totals.get(service);
        return {
            cpuUsedPercent: own && percentOf(own.usedCpuMillis, own.cpuMillis),
            memoryUsedPercent: own && percentOf(own.usedMemoryMb, own.memoryMb),
            memoryIdlePercent: own && percentOf(own.idleMemoryMb, own.memoryMb),
        };
    }

    private add(worker: WorkerContact): void {
        const { service, capacity } = worker.entry;
        const sum = this.totals.get(service) ?? emptyLoad();
        sum.cpuMillis += capacity.cpuMillis;
        sum.memoryMb += capacity.memoryMb;
        sum.accelerators += capacity.accelerators;
        for (const { task, speedPercent } of worker.runs.values()) {
            addRequest(sum, task.step, speedPercent);
        }
        this.totals.set(service, sum);
    }
}

/** @returns How much is in use of the capacity of one load, or of two together. */
function usedRatios(load: ServiceLoad, other = NOTHING): UsedRatios {
    return {
        cpu: (load.usedCpuMillis + other.usedCpuMillis) / Math.max(1, load.cpuMillis + other.cpuMillis),
        idleMemory: (load.idleMemoryMb + other.idleMemoryMb) / Math.max(1, load.memoryMb + other.memoryMb),
    };
}

function leastRatios(a: UsedRatios, b: UsedRatios): UsedRatios {
    return { cpu: Math.min(a.cpu, b.cpu), idleMemory: Math.min(a.idleMemory, b.idleMemory) };
}

function addRequest(totals: ServiceLoad, { request, usesSpareCpu }: StepSpec, speedPercent: number): void {
    totals[usesSpareCpu ? "spareCpuMillis" : "usedCpuMillis"] += request.cpuMillis;
    totals.usedMemoryMb += request.memoryMb;
    totals.usedAccelerators += request.accelerators;
    totals.idleMemoryMb += request.memoryMb * (1 - speedPercent / 100);
}
