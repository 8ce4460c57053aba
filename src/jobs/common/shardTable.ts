import { Emitter } from "../../base/common/emitter";
import { StoredRecord } from "../../records/common/record";
import { decodeShardPlan, SHARD_PLAN_KEY, ShardPlan, shardOfJob, shardOfWorker } from "./shardPlan";

/** How the fleet is divided, folded from the stream of jobs. */
export class ShardTable {
    private storedPlan: ShardPlan | undefined;
    private readonly didDivide = Emitter.create<ShardPlan>();
    private readonly didIgnore = Emitter.create<StoredRecord>();

    private constructor() {}

    /** @returns The table of a fleet that is not divided. */
    static create(): ShardTable {
        return new ShardTable();
    }

    /** Fires once, when the plan is read. */
    readonly onDidDivide = this.didDivide.event;
    /** Fires for a malformed record, which has no effect. */
    readonly onDidIgnore = this.didIgnore.event;

    /** The plan, or `undefined` while the fleet is not divided. */
    get plan(): ShardPlan | undefined {
        return this.storedPlan;
    }

    /** Number of shards. */
    get count(): number {
        return this.storedPlan?.count ?? 1;
    }

    /** @param key Key of a record. @returns Whether it is the record of the plan. */
    isPlanKey(key: string): boolean {
        return key === SHARD_PLAN_KEY;
    }

    /** Applies the record of the plan. Only the first one counts: jobs and workers never change their shard. */
    apply(record: StoredRecord): void {
        if (record.value === undefined || this.storedPlan !== undefined) {
            return;
        }
        const plan = decodeShardPlan(record.value);
        if (plan === undefined) {
            this.didIgnore.fire(record);
            return;
        }
        this.storedPlan = plan;
        this.didDivide.fire(plan);
    }

    /** @param id Identifier of a job. @returns Its shard. */
    shardOfJob(id: string): number {
        return shardOfJob(this.storedPlan, id);
    }

    /** @param worker Identifier of a worker, and its rack if it states one. @returns Its shard. */
    shardOfWorker(worker: { readonly id: string; readonly rack: string }): number {
        return shardOfWorker(this.storedPlan, worker);
    }
}
