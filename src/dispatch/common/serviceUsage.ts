import { StepSpec } from "../../jobs/common/jobSpec";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";

/** Interval between two reviews, in ms, since each visits all runs. */
const REVIEW_INTERVAL_MS = 200;

/** Shares of a service's capacity that are in use, in percent. */
export interface UsageReport {
    /** Without best-effort tasks. */
    readonly cpuUsedPercent: number | undefined;
    readonly memoryUsedPercent: number | undefined;
}

/** What the workers of a service have in all, and what is in use of it. */
interface ServiceTotals {
    cpuMillis: number;
    memoryMb: number;
    usedCpuMillis: number;
    usedMemoryMb: number;
}

/** Shares of a service's capacity that are in use, from 0 to 1. */
export interface UsedRatios {
    /** Without best-effort tasks. */
    readonly cpu: number;
    readonly memory: number;
}

/** Of a service of which nothing is known. */
const FULL: UsedRatios = { cpu: 1, memory: 1 };

/**
 * Knows how much of each service is in use, as its callers see it: of all workers that are registered, whether or not the leader
 * can use them at the moment.
 */
export class ServiceUsage {
    private totals = new Map<string, ServiceTotals>();
    private reviewedAt: number | undefined;

    private constructor() {}

    /** @returns A table that has seen no worker. */
    static create(): ServiceUsage {
        return new ServiceUsage();
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
    }

    /** Records that a task was assigned to a worker after the latest review. */
    recordAssignment({ step }: Task, service: string): void {
        const own = this.totals.get(service);
        if (own !== undefined) {
            addRequest(own, step);
        }
    }

    /** @returns How much of a service's capacity is in use; all of it if nothing is known of the service. */
    ratiosOf(service: string): UsedRatios {
        const own = this.totals.get(service);
        return own === undefined
            ? FULL
            : {
                  cpu: own.usedCpuMillis / Math.max(1, own.cpuMillis),
                  memory: own.usedMemoryMb / Math.max(1, own.memoryMb),
              };
    }

    /** @returns How much of a service's capacity is in use, as far as it is known. */
    reportOf(service: string): UsageReport {
        const ratios = this.totals.has(service) ? this.ratiosOf(service) : undefined;
        return {
            cpuUsedPercent: ratios && Math.round(100 * ratios.cpu),
            memoryUsedPercent: ratios && Math.round(100 * ratios.memory),
        };
    }

    private add(worker: WorkerContact): void {
        const { service, capacity } = worker.entry;
        const sum = this.totals.get(service) ?? { cpuMillis: 0, memoryMb: 0, usedCpuMillis: 0, usedMemoryMb: 0 };
        sum.cpuMillis += capacity.cpuMillis;
        sum.memoryMb += capacity.memoryMb;
        for (const { task } of worker.runs.values()) {
            addRequest(sum, task.step);
        }
        this.totals.set(service, sum);
    }
}

function addRequest(totals: ServiceTotals, { request, usesSpareCpu }: StepSpec): void {
    totals.usedCpuMillis += usesSpareCpu ? 0 : request.cpuMillis;
    totals.usedMemoryMb += request.memoryMb;
}
