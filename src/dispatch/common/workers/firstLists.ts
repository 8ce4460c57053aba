import { WorkerContact } from "./workerContact";

/**
 * Ticks over which the first lists of a new leader are spread. Their answers have all ends since the former leader was lost, so
 * together they would keep the loop busy; a slow loop has longer ticks.
 */
const FIRST_LIST_TICKS = 8;

/** The same after a handover: the former leader has confirmed nearly all ends, and connections are open. */
const PREPARED_LIST_TICKS = 3;

/** Workers whose first list is not requested yet, in the order in which it will be. */
export class FirstLists {
    private waiting: WorkerContact[] = [];
    private perTick = 0;

    private constructor() {}

    /** @returns No workers. */
    static create(): FirstLists {
        return new FirstLists();
    }

    /**
     * Spreads the first lists of all workers: those that are urgent first, then those with inherited runs, of these the ones first
     * whose lease ends first.
     * @param workers The workers.
     * @param isUrgent Whether a worker comes before all others.
     * @param isPrepared Whether the former leader has worked until now.
     */
    spread(workers: readonly WorkerContact[], isUrgent: (worker: WorkerContact) => boolean, isPrepared = false): void {
        const others = workers.filter(worker => !isUrgent(worker));
        const busy = others.filter(worker => worker.runs.size > 0).sort((a, b) => a.leaseEndsBy - b.leaseEndsBy);
        const idle = others.filter(worker => worker.runs.size === 0);
        this.waiting = [...workers.filter(isUrgent), ...busy, ...idle];
        this.waiting.forEach(worker => (worker.mayList = false));
        this.perTick = Math.ceil(workers.length / (isPrepared ? PREPARED_LIST_TICKS : FIRST_LIST_TICKS));
    }

    /** Lets the next workers be listed. */
    releaseNext(): void {
        this.waiting.splice(0, this.perTick).forEach(worker => (worker.mayList = true));
    }

    /** Forgets workers. @param isKept Whether a worker stays. */
    retain(isKept: (id: string) => boolean): void {
        this.waiting = this.waiting.filter(worker => isKept(worker.entry.id));
    }
}
