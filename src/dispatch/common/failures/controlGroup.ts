import { WorkerContact } from "../workers/workerContact";
import type { ReviewedLoss } from "./reviewedLoss";

/** Time for which a worker that was listed belongs to the group, in ms. */
const MEMBERSHIP_MS = 10_000;

/** Longest time between two lists of a worker that answers, in ms. */
const MAX_LIST_GAP_MS = 1_500;

/** Smallest number of other workers that says something of the moment: one may run another task that crashes its workers. */
const MIN_OTHERS = 2;

/**
 * The other workers at work. A task that is alone on a worker is an experiment, and they are its control group: its loss says little if
 * many of them were lost at the same moment, which is known once they have been listed again.
 */
export class ControlGroup {
    /** Times (ms) of the latest lists, by worker. */
    private readonly listedAt = new Map<string, number>();

    private constructor() {}

    /** @returns A group without members. */
    static create(): ControlGroup {
        return new ControlGroup();
    }

    /** Records a list of a worker. */
    recordList(worker: WorkerContact): void {
        if (worker.heardAt !== undefined) {
            this.listedAt.set(worker.entry.id, worker.heardAt);
        }
    }

    /** Removes a worker that was lost: it is counted by the moment of its loss. */
    recordLoss(worker: WorkerContact): void {
        this.listedAt.delete(worker.entry.id);
    }

    /** Removes the workers that were not listed for long. @param now Time in ms. */
    prune(now: number): void {
        for (const [id, at] of this.listedAt) {
            if (now - at > MEMBERSHIP_MS) {
                this.listedAt.delete(id);
            }
        }
    }

    /** @param loss A loss. @param now Time in ms. @returns Whether each member has been listed since, or has had the time for it. */
    hasReported(loss: ReviewedLoss, now: number): boolean {
        return this.unlistedSince(loss).every(id => now - this.listedAt.get(id)! >= MAX_LIST_GAP_MS);
    }

    /**
     * @param loss A loss.
     * @param others Workers that were lost at the same moment.
     * @param countsUnlisted Whether the members that were not listed since count as lost.
     * @returns Share of the members that were lost at that moment, 0 to 1; 0 if it was one at most.
     */
    lossRatio(loss: ReviewedLoss, others: ReadonlySet<string>, countsUnlisted = false): number {
        const members = new Set([...this.listedAt.keys(), ...others]);
        members.delete(loss.worker);
        const lost = new Set([...others, ...(countsUnlisted ? this.unlistedSince(loss) : [])]);
        lost.delete(loss.worker);
        return lost.size < MIN_OTHERS ? 0 : lost.size / members.size;
    }

    /** @returns The members that may have been lost at the same moment: those that were listed until then, and not since. */
    private unlistedSince({ worker, heardAt, silentBy }: ReviewedLoss): string[] {
        const listed = [...this.listedAt].filter(([, at]) => heardAt - at < MAX_LIST_GAP_MS && at < silentBy);
        return listed.map(([id]) => id).filter(id => id !== worker);
    }
}
