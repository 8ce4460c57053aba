import { Task } from "../jobs/task";
import { WorkerContact } from "../workers/workerContact";

/** Time for which a worker is held for a task that moves there, in ms: until its run is stopped and the worker has listed the end. */
const MAX_HOLD_MS = 2_000;

interface Move {
    readonly worker: WorkerContact;
    readonly startedAt: number;
}

/** Moves of tasks to workers on which they run faster. Such a worker is held for its task until the task can start there. */
export class MoveTable {
    private readonly moves = new Map<Task, Move>();
    private heldWorkers: ReadonlySet<WorkerContact> = new Set();

    private constructor() {}

    /** @returns A table without moves. */
    static create(): MoveTable {
        return new MoveTable();
    }

    /** Whether no task moves. */
    get isEmpty(): boolean {
        return this.moves.size === 0;
    }

    /** The moves in progress, with the workers that they hold. */
    get all(): Iterable<[Task, WorkerContact]> {
        return [...this.moves].map(([task, { worker }]): [Task, WorkerContact] => [task, worker]);
    }

    /** Begins a move. @param task A task whose run is stopped. @param worker Where it is to run. @param now Time in ms. */
    add(task: Task, worker: WorkerContact, now: number): void {
        this.moves.set(task, { worker, startedAt: now });
        this.updateHeld();
    }

    /** Ends the move of a task. */
    delete(task: Task): void {
        if (this.moves.delete(task)) {
            this.updateHeld();
        }
    }

    /** Drops the moves that take too long or whose worker is not usable any more. */
    prune(usable: readonly WorkerContact[], now: number): void {
        if (this.isEmpty) {
            return;
        }
        const workers = new Set(usable);
        for (const [task, { worker, startedAt }] of this.moves) {
            if (now - startedAt > MAX_HOLD_MS || !workers.has(worker)) {
                this.moves.delete(task);
            }
        }
        this.updateHeld();
    }

    /** @returns The worker that is held for a task, if any. */
    destinationOf(task: Task): WorkerContact | undefined {
        return this.moves.get(task)?.worker;
    }

    /** @returns Whether a worker is held for a task. */
    isHeld(worker: WorkerContact): boolean {
        return this.heldWorkers.has(worker);
    }

    private updateHeld(): void {
        this.heldWorkers = new Set([...this.moves.values()].map(({ worker }) => worker));
    }
}
