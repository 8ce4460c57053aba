import { Event } from "../../base/common/emitter";
import { JobEntry, JobTable } from "./jobTable";
import { ShardTable } from "./shardTable";

/** The jobs that a leader schedules, and their changes. */
export type JobSource = Pick<JobTable, "all" | "find" | "onDidChange" | "shard" | "homeOf">;

/** The jobs of one shard, and those of which it has single tasks. */
export class ShardJobs implements JobSource {
    private constructor(
        private readonly jobs: JobTable,
        private readonly shards: ShardTable,
        readonly shard: number,
    ) {}

    /**
     * @param jobs All jobs.
     * @param shards How the fleet is divided.
     * @param shard Number of the shard.
     * @returns Its jobs.
     */
    static create(jobs: JobTable, shards: ShardTable, shard: number): ShardJobs {
        return new ShardJobs(jobs, shards, shard);
    }

    /** Fires when a job of the shard is submitted or cancelled, or its recorded state changes. */
    readonly onDidChange: Event<JobEntry> = listener =>
        this.jobs.onDidChange(entry => this.has(entry.id) && listener(entry));

    /** All jobs of the shard, and those of which it has tasks. */
    get all(): Iterable<JobEntry> {
        return [...this.jobs.all].filter(entry => this.has(entry.id));
    }

    /** @param id Identifier. @returns The job, or `undefined` if its submission was not read or all of it is of other shards. */
    find(id: string): JobEntry | undefined {
        return this.has(id) ? this.jobs.find(id) : undefined;
    }

    /** @param id Identifier of a job. @returns Whether it, or one of its tasks, is of this shard. */
    has(id: string): boolean {
        return this.homeOf(id) === this.shard || this.hasTaskOf(id);
    }

    /** @param id Identifier of a job. @returns Its shard: that of its identifier until it is transferred. */
    homeOf(id: string): number {
        return this.jobs.transferOf(id)?.shard ?? this.shards.shardOfJob(id);
    }

    private hasTaskOf(id: string): boolean {
        for (const { shard } of this.jobs.taskTransfersOf(id)) {
            if (shard === this.shard) {
                return true;
            }
        }
        return false;
    }
}
