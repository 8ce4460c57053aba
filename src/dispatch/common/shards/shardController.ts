import { QueueTable } from "../../../jobs/common/queueTable";
import { RecordWriter } from "../../../records/common/recordWriter";
import { ActiveJobTable } from "../jobs/activeJobTable";
import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { LoadPublisher } from "./loadPublisher";
import { RoomTransferPolicy } from "./roomTransferPolicy";
import { ServiceUsage } from "../workers/serviceUsage";
import { ShardBalancer } from "./shardBalancer";
import { ShardFleet } from "./shardFleet";
import { ShardLoadTable } from "./shardLoadTable";
import { LeaderPace } from "../scheduler/streamViews";
import { Task } from "../jobs/task";
import { TaskBalancer } from "./taskBalancer";
import { WorkerContact } from "../workers/workerContact";

/** A fleet that is not divided. */
const UNDIVIDED_FLEET: ShardFleet = {
    shard: 0,
    count: 1,
    loads: ShardLoadTable.create(),
    policy: RoomTransferPolicy.create(),
    workersOf: () => [],
};

/** What the leader of a shard schedules with. */
export interface ShardSources {
    readonly jobs: ActiveJobTable;
    readonly queues: QueueTable;
    readonly usage: ServiceUsage;
    /** Returns the workers that may be given tasks. */
    readonly usable: () => Iterable<WorkerContact>;
    readonly pace: LeaderPace;
    /** Writes to the stream that all instances follow. */
    readonly writer: RecordWriter;
    readonly log: (name: DecisionName, data: DecisionData) => void;
}

/** The part of a leader that concerns the other shards: publishes the load of its own, and leaves jobs to them. */
export class ShardController {
    private constructor(
        private readonly publisher: LoadPublisher,
        private readonly balancer: ShardBalancer,
        private readonly taskBalancer: TaskBalancer,
    ) {}

    /** @param fleet The shards; `undefined` if the fleet is not divided. @param sources What the leader schedules with. @returns The controller. */
    static create(fleet = UNDIVIDED_FLEET, sources: ShardSources): ShardController {
        const { jobs, queues, pace, log } = sources;
        const publisher = LoadPublisher.create(fleet, { ...sources, jobs: () => jobs.all });
        const shard = { jobs, queues, publisher, delayMs: () => pace.delayMs, log };
        const balancer = ShardBalancer.create(fleet, shard);
        return new ShardController(publisher, balancer, TaskBalancer.create(fleet, shard, balancer));
    }

    /**
     * @param fleet The shards; `undefined` if the fleet is not divided.
     * @param clock Returns the time in ms.
     * @returns How much of each service is in use, in its shard and in all.
     */
    static createUsage(fleet = UNDIVIDED_FLEET, clock: () => number): ServiceUsage {
        return ServiceUsage.create(service => fleet.loads.loadsOf(service, fleet.shard, clock()));
    }

    /** Publishes the load if that is due. @param now Time in ms. */
    tick(now: number): void {
        this.publisher.tick(now);
    }

    /**
     * Leaves jobs to other shards that have just been submitted or wait, and tasks that wait while others of their job run.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    review(now: number, wallNow: number): void {
        this.balancer.review(now, wallNow);
        this.taskBalancer.review(now);
    }

    /** Records that a task was transferred to the shard. @param now Time in ms. */
    recordArrival(task: Task, now: number): void {
        this.taskBalancer.recordArrival(task, now);
    }
}
