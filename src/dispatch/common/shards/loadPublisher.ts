import { isFinal } from "../../../jobs/common/jobTable";
import { QueueTable } from "../../../jobs/common/queueTable";
import { RecordWriter } from "../../../records/common/recordWriter";
import { ActiveJob } from "../jobs/activeJob";
import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { addDemand, demandOf, waitingLastingTasks } from "../jobs/jobDemand";
import { addLoad, emptyLoad, percentOf, ServiceLoad } from "./serviceLoad";
import { ServiceUsage } from "../workers/serviceUsage";
import { ShardFleet } from "./shardFleet";
import { encodeShardLoad, loadKey } from "./shardLoad";
import { LeaderPace } from "../scheduler/streamViews";
import { hasRunBefore, Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";
import { largestRooms, takePlace, WorkerRoom } from "../workers/workerRoom";

/** Interval between two reviews of the load, and between two records of it, in ms: that of the leader's renewals. */
const REVIEW_INTERVAL_MS = 300;

/** Interval between two lines about each service, in ms. */
const LINE_INTERVAL_MS = 5_000;

/** Number of the workers of each service whose room is published: all instances read it. */
const MAX_ROOMS = 6;

/** Number of the tasks of each service that last and wait whose requests are published. */
const MAX_LASTING_WAITS = 16;

/** What a load is made of. */
export interface LoadSources {
    /** Returns the active jobs. */
    readonly jobs: () => Iterable<ActiveJob>;
    readonly queues: QueueTable;
    readonly usage: ServiceUsage;
    /** Returns the workers that may be given tasks. */
    readonly usable: () => Iterable<WorkerContact>;
    readonly pace: LeaderPace;
    /** Writes to the stream that all instances follow. */
    readonly writer: RecordWriter;
    readonly log: (name: DecisionName, data: DecisionData) => void;
}

/** Publishes what a shard has in use and what waits in it: for the leaders of the other shards, and in the log. */
export class LoadPublisher {
    private reviewedAt = Number.NEGATIVE_INFINITY;
    private loggedAt: number | undefined;
    /** Load of each service as of the latest review. */
    private loads: ReadonlyMap<string, ServiceLoad> = new Map();
    /** The largest rooms of each service as of the latest review. */
    private rooms: ReadonlyMap<string, readonly WorkerRoom[]> = new Map();
    /** The same for tasks that ran before. */
    private restartRooms: ReadonlyMap<string, readonly WorkerRoom[]> = new Map();
    /** The most CPU that a worker of each service has free, before tasks that last and wait are taken off, in thousandths of a core. */
    private mostFreeMillis: ReadonlyMap<string, number> = new Map();
    /** What the smallest tasks of each service that last and wait request, in thousandths of a core. */
    private lastingWaits: ReadonlyMap<string, readonly number[]> = new Map();

    private constructor(
        private readonly fleet: ShardFleet,
        private readonly sources: LoadSources,
    ) {}

    /**
     * @param fleet The shard and the others.
     * @param sources What the load is made of.
     * @returns A publisher that has published nothing.
     */
    static create(fleet: ShardFleet, sources: LoadSources): LoadPublisher {
        return new LoadPublisher(fleet, sources);
    }

    /** @param service A service. @returns Its load in this shard as of the latest review, or `undefined` if it has no workers here. */
    loadOf(service: string): ServiceLoad | undefined {
        return this.loads.get(service);
    }

    /** @param service A service. @returns Its workers with the most room as of the latest review. */
    roomsOf(service: string): readonly WorkerRoom[] {
        return this.rooms.get(service) ?? [];
    }

    /** @param service A service. @returns The same for tasks that ran before. */
    restartRoomsOf(service: string): readonly WorkerRoom[] {
        return this.restartRooms.get(service) ?? this.roomsOf(service);
    }

    /** @param service A service. @returns What its smallest tasks that last and wait request, in thousandths of a core, ascending. */
    lastingWaitsOf(service: string): readonly number[] {
        return this.lastingWaits.get(service) ?? [];
    }

    /** Reviews the load if that is due. @param now Time in ms. */
    tick(now: number): void {
        if (now - this.reviewedAt < REVIEW_INTERVAL_MS) {
            return;
        }
        this.reviewedAt = now;
        this.loads = this.review();
        if (this.fleet.count > 1) {
            const lasting = this.collectLastingTasks();
            this.reviewRooms(lasting);
            this.lastingWaits = this.reviewLastingWaits(lasting);
            const { loads: services, rooms, restartRooms, lastingWaits } = this;
            const { delayMs } = this.sources.pace;
            this.sources.writer.write(loadKey(this.fleet.shard), () =>
                encodeShardLoad({ delayMs, services, rooms, restartRooms, lastingWaits }),
            );
        }
        this.loggedAt ??= now;
        if (now - this.loggedAt >= LINE_INTERVAL_MS) {
            this.loggedAt = now;
            this.loads.forEach((load, service) => {
                const mostRoomMillis = mostMillis(this.roomsOf(service));
                const mostRestartMillis = mostMillis(this.restartRoomsOf(service));
                const room = { mostFreeMillis: this.mostFreeMillis.get(service), mostRoomMillis, mostRestartMillis };
                this.sources.log("shard-load", { service, ...reportOf(load), ...room });
            });
        }
    }

    /** @returns Tasks of each service that last and wait. */
    private collectLastingTasks(): Map<string, Task[]> {
        const lasting = new Map<string, Task[]>();
        for (const job of this.sources.jobs()) {
            addTo(lasting, this.sources.queues.latestSettings(job.spec.queue).service, ...waitingLastingTasks(job));
        }
        return lasting;
    }

    private reviewRooms(lasting: ReadonlyMap<string, readonly Task[]>): void {
        const workers = new Map([...this.sources.usable()].map(worker => [worker.entry.id, worker]));
        const find = (id: string) => workers.get(id)?.entry;
        const free = new Map<string, WorkerRoom[]>();
        for (const [id, worker] of workers) {
            const { cpuMillis, memoryMb, accelerators } = worker.freeCapacity();
            const room = { worker: id, cpuMillis, memoryMb, accelerators: Math.max(0, accelerators) };
            addTo(free, worker.entry.service, room);
        }
        const largestBeside = (rooms: readonly WorkerRoom[], tasks: readonly Task[]) => {
            const left = rooms.map(room => ({ ...room }));
            tasks.forEach(({ step }) => takePlace(left, step, find));
            return largestRooms(left, find, MAX_ROOMS);
        };
        this.mostFreeMillis = new Map([...free].map(([service, each]) => [service, mostMillis(each)]));
        this.rooms = new Map(
            [...free].map(([service, each]) => [service, largestBeside(each, lasting.get(service) ?? [])]),
        );
        const restartRooms = new Map<string, readonly WorkerRoom[]>();
        for (const [service, tasks] of lasting) {
            const restarts = tasks.filter(hasRunBefore);
            if (restarts.length < tasks.length && free.has(service)) {
                restartRooms.set(service, largestBeside(free.get(service)!, restarts));
            }
        }
        this.restartRooms = restartRooms;
    }

    private reviewLastingWaits(lasting: ReadonlyMap<string, readonly Task[]>): Map<string, readonly number[]> {
        const services = new Set([...this.loads.keys(), ...lasting.keys()]);
        const smallest = (tasks: readonly Task[]) =>
            tasks
                .map(({ step }) => step.request.cpuMillis)
                .sort((a, b) => a - b)
                .slice(0, MAX_LASTING_WAITS);
        return new Map([...services].map(service => [service, smallest(lasting.get(service) ?? [])]));
    }

    private review(): Map<string, ServiceLoad> {
        const { usage, queues } = this.sources;
        const loads = new Map<string, ServiceLoad>();
        usage.loads.forEach((used, service) => {
            const load = emptyLoad();
            addLoad(load, used);
            loads.set(service, load);
        });
        for (const job of this.sources.jobs()) {
            const load = isFinal(job.state) ? undefined : loads.get(queues.latestSettings(job.spec.queue).service);
            if (load !== undefined) {
                addDemand(load, demandOf(job));
            }
        }
        return loads;
    }
}

function mostMillis(rooms: readonly WorkerRoom[]): number {
    return Math.max(0, ...rooms.map(({ cpuMillis }) => cpuMillis));
}

function addTo<Value>(groups: Map<string, Value[]>, key: string, ...values: readonly Value[]): void {
    const known = groups.get(key);
    if (known === undefined) {
        groups.set(key, [...values]);
    } else {
        known.push(...values);
    }
}

/** @returns The shares of a service's capacity, in percent, for the log. */
function reportOf(load: ServiceLoad): DecisionData {
    const ofCpu = (cpuMillis: number) => percentOf(cpuMillis, load.cpuMillis);
    return {
        cpuMillis: load.cpuMillis,
        cpuUsedPercent: ofCpu(load.usedCpuMillis),
        cpuSparePercent: ofCpu(load.spareCpuMillis),
        memoryUsedPercent: percentOf(load.usedMemoryMb, load.memoryMb),
        memoryIdlePercent: percentOf(load.idleMemoryMb, load.memoryMb),
        cpuWaitingPercent: ofCpu(load.waitingCpuMillis),
        cpuSpareWaitingPercent: ofCpu(load.waitingSpareCpuMillis),
    };
}
