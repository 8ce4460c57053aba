import { TaskRequest } from "../../jobs/common/jobSpec";
import { Task } from "./task";
import { WorkerContact } from "./workerContact";

/**
 * Share of the capacity of a service in use below which it has room. Callers count a service of which less than half is in use;
 * the leader's view of the workers is not exact.
 */
const MAX_USED_RATIO = 0.55;

/** Time for which a worker counts after it was usable, in ms: it is not while its ends are confirmed, or after a rejection. */
const USABLE_MS = 2_000;

/** Time without room after which the time with room begins again, in ms: a task that moves counts twice for a moment. */
const MAX_GAP_MS = 1_000;

/** Interval between two reviews, in ms, since each visits all runs. */
const REVIEW_INTERVAL_MS = 200;

const RESOURCES = ["cpuMillis", "memoryMb", "accelerators"] as const;
const NOTHING: TaskRequest = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** What the usable workers of a service have in all, and what of it is free. */
interface ServiceCapacity {
    readonly capacity: Record<keyof TaskRequest, number>;
    readonly free: Record<keyof TaskRequest, number>;
}

/** Shares of a service's capacity that are in use, in percent. */
export interface ServiceUsage {
    /** Without best-effort tasks. */
    readonly cpuUsedPercent: number | undefined;
    readonly memoryUsedPercent: number | undefined;
}

/** Knows since when services have room: little of their capacity is in use, apart from the CPU of best-effort tasks. */
export class ServiceRoom {
    private capacities = new Map<string, ServiceCapacity>();
    /** Time (ms) at which a worker was last usable. */
    private readonly usableAt = new Map<WorkerContact, number>();
    /** Time (ms) since which a service has room, apart from short gaps. */
    private readonly roomSince = new Map<string, number>();
    /** Time (ms) since which a service has none. */
    private readonly fullSince = new Map<string, number>();
    private reviewedAt: number | undefined;

    private constructor() {}

    /** @returns A table that has seen no worker. */
    static create(): ServiceRoom {
        return new ServiceRoom();
    }

    /**
     * Reviews the services if a review is due.
     * @param workers Usable workers.
     * @param now Time in ms.
     */
    update(workers: readonly WorkerContact[], now: number): void {
        if (this.reviewedAt !== undefined && now - this.reviewedAt < REVIEW_INTERVAL_MS) {
            return;
        }
        this.reviewedAt = now;
        workers.forEach(worker => this.usableAt.set(worker, now));
        for (const [worker, usableAt] of this.usableAt) {
            if (now - usableAt > USABLE_MS) {
                this.usableAt.delete(worker);
            }
        }
        this.capacities = capacitiesOf(this.usableAt.keys());
        for (const [service, each] of this.capacities) {
            // What was before the first review is not known, so the service may have had room all the time.
            const since = this.roomSince.get(service) ?? Number.NEGATIVE_INFINITY;
            const fullMs = now - (this.fullSince.get(service) ?? now);
            this.roomSince.set(service, fullMs > MAX_GAP_MS ? now : since);
            if (hasRoom(each)) {
                this.fullSince.delete(service);
            } else {
                this.markFull(service, now);
            }
        }
    }

    /** Records that a task was assigned to a worker after the latest review. */
    recordAssignment({ step: { request, usesSpareCpu } }: Task, service: string, now: number): void {
        const own = this.capacities.get(service);
        if (own === undefined) {
            return;
        }
        own.free.cpuMillis -= usesSpareCpu ? 0 : request.cpuMillis;
        own.free.memoryMb -= request.memoryMb;
        own.free.accelerators -= request.accelerators;
        if (!hasRoom(own)) {
            this.markFull(service, now);
        }
    }

    /** @returns Time for which a service has had room, in ms, or `undefined` if it has none. */
    roomMs(service: string, now: number): number | undefined {
        const since = this.roomSince.get(service);
        return since === undefined || this.fullSince.has(service) ? undefined : now - since;
    }

    /** @returns How much of a service's capacity is in use, in percent, as far as it is known. */
    usage(service: string): ServiceUsage {
        const own = this.capacities.get(service);
        return {
            cpuUsedPercent: own && usedPercent(own, "cpuMillis"),
            memoryUsedPercent: own && usedPercent(own, "memoryMb"),
        };
    }

    private markFull(service: string, now: number): void {
        this.fullSince.set(service, this.fullSince.get(service) ?? now);
    }
}

function capacitiesOf(workers: Iterable<WorkerContact>): Map<string, ServiceCapacity> {
    const capacities = new Map<string, ServiceCapacity>();
    for (const worker of workers) {
        const { service, capacity } = worker.entry;
        const free = worker.freeCapacity();
        const sum = capacities.get(service) ?? { capacity: { ...NOTHING }, free: { ...NOTHING } };
        for (const resource of RESOURCES) {
            sum.capacity[resource] += capacity[resource];
            sum.free[resource] += free[resource];
        }
        capacities.set(service, sum);
    }
    return capacities;
}

function hasRoom({ capacity, free }: ServiceCapacity): boolean {
    return RESOURCES.every(
        resource => capacity[resource] === 0 || free[resource] > capacity[resource] * (1 - MAX_USED_RATIO),
    );
}

function usedPercent({ capacity, free }: ServiceCapacity, resource: keyof TaskRequest): number {
    return Math.round(100 * (1 - free[resource] / Math.max(1, capacity[resource])));
}
