import { JobEntry } from "../../../jobs/common/jobTable";
import { JobSource } from "../../../jobs/common/shardJobs";
import { FIRST_SHARD } from "../../../jobs/common/shardPlan";
import { TaskTransfer } from "../../../jobs/common/taskTransfer";
import { RecordOffset } from "../../../records/common/record";
import { ActiveJob } from "../jobs/activeJob";
import { Task } from "../jobs/task";

/** In which shard a leader is, and each job. */
export type JobPlaces = Pick<JobSource, "shard" | "homeOf">;

/** The places in a fleet that is not divided. */
export const UNDIVIDED_PLACES: JobPlaces = { shard: FIRST_SHARD, homeOf: () => FIRST_SHARD };

/** Tasks of a job that this leader has left to others. */
interface DepartedTasks {
    /** Offset of the job's spec. A job that is submitted under its id after its retention has another one. */
    readonly specOffset: RecordOffset;
    /** Number of transfers after which each task may be back, by name. */
    readonly counts: Map<string, number>;
}

/** Knows which tasks the leader of a shard has: all of the jobs of its shard, but for those that were transferred by themselves. */
export class TaskTransferTable {
    private readonly departed = new Map<string, DepartedTasks>();

    private constructor(private readonly places: JobPlaces) {}

    /** @param places The shard of the leader, and those of jobs. @returns A table without transfers. */
    static create(places: JobPlaces): TaskTransferTable {
        return new TaskTransferTable(places);
    }

    /** @param id Identifier of a job. @returns Whether another shard has it, and this one at most some of its tasks. */
    isGuest(id: string): boolean {
        return this.homeOf(id) !== this.places.shard;
    }

    /** @param id Identifier of a job. @returns Its shard. */
    homeOf(id: string): number {
        return this.places.homeOf(id);
    }

    /** @returns Whether a task of a job was transferred to this shard, and this leader has not left it to another one since then. */
    hasTaskOf(entry: JobEntry): boolean {
        return [...(entry.taskTransfers ?? [])].some(
            ([name, transfer]) => this.isHere(transfer) && transfer.count > this.departedCount(entry, name),
        );
    }

    /**
     * Applies the transfers of the tasks of a job that are not older than what is known of them.
     * @param job The job.
     * @param entry Its records.
     * @returns The tasks that this leader has from now on.
     */
    apply(job: ActiveJob, entry: JobEntry): Task[] {
        const arrived: Task[] = [];
        for (const [name, transfer] of entry.taskTransfers ?? []) {
            if (transfer.count > this.departedCount(entry, name)) {
                arrived.push(...job.applyTransfer(name, transfer, this.isHere(transfer)));
            }
        }
        return arrived;
    }

    /** Records that this leader has left a task to another shard, before the record of it is read. */
    recordDeparture({ job, name, transfers }: Task): void {
        const { id } = job.spec;
        const departed = this.departed.get(id) ?? { specOffset: job.specOffset, counts: new Map() };
        departed.counts.set(name, transfers);
        this.departed.set(id, departed);
    }

    /** Forgets the tasks of a job that is deleted. @param id Its identifier. */
    forget(id: string): void {
        this.departed.delete(id);
    }

    private isHere({ shard }: TaskTransfer): boolean {
        return shard === this.places.shard;
    }

    private departedCount({ id, specOffset }: JobEntry, name: string): number {
        const departed = this.departed.get(id);
        return departed?.specOffset === specOffset ? (departed.counts.get(name) ?? 0) : 0;
    }
}
