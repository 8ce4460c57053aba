import { MAX_ORDER_AGE_MS } from "../scheduler/dispatchLimits";
import { WorkerContact } from "../workers/workerContact";
import { StartOrder, startKeyOf } from "../workers/workerMessages";

/** Minimum interval between two stops of the same run, in ms. */
const STOP_INTERVAL_MS = 800;

/** A start that was not answered, and may be carried out late. */
interface LateStart {
    readonly task: string;
    readonly run: number;
    /** Time (ms) from which it is not carried out any more. */
    readonly expiresAt: number;
    /** Incarnation of the worker that rejects it, as it has confirmed a stop. */
    guardedIn: number | undefined;
    /** Time (ms) before which it is not stopped again. */
    nextStopAt: number;
}

/** Sends the order to stop a run. */
export type SendStop = (worker: WorkerContact, task: string, run: number) => void;

/**
 * Knows the starts that were not answered, beyond the life of their runs. A worker that has restarted under its id knows no stop
 * and no order of before, so a start that arrives then would run beside a later run of its task. Each new incarnation is ordered to
 * stop these runs, and then rejects their starts.
 */
export class LateStartTable {
    /** Starts by worker and `startKeyOf`. */
    private readonly starts = new Map<string, Map<string, LateStart>>();

    private constructor(private readonly sendStop: SendStop) {}

    /** @param sendStop Sends the order to stop a run. @returns A table without starts. */
    static create(sendStop: SendStop): LateStartTable {
        return new LateStartTable(sendStop);
    }

    /** Adds a start that was not answered. @param worker Identifier of its worker. @param now Time in ms. */
    add(worker: string, { task, run }: StartOrder, now: number): void {
        const starts = this.starts.get(worker) ?? new Map<string, LateStart>();
        const start = { task, run, expiresAt: now + MAX_ORDER_AGE_MS, guardedIn: undefined, nextStopAt: now };
        this.starts.set(worker, starts.set(startKeyOf(start), start));
    }

    /** Records that the listed incarnation of a worker has confirmed a stop. */
    confirmStop(worker: WorkerContact, order: { readonly task: string; readonly run: number }): void {
        const start = this.starts.get(worker.entry.id)?.get(startKeyOf(order));
        if (start !== undefined) {
            start.guardedIn = worker.incarnation;
        }
    }

    /** Stops the runs that a worker may still start, after a list of it. @param now Time in ms. */
    review(worker: WorkerContact, now: number): void {
        const { id } = worker.entry;
        const starts = this.starts.get(id) ?? new Map<string, LateStart>();
        for (const [key, start] of starts) {
            const run = worker.runs.get(start.task);
            const isKnown = run?.record.run === start.run;
            if (now >= start.expiresAt || (isKnown && run?.report !== undefined)) {
                starts.delete(key);
            } else if (!isKnown && start.guardedIn !== worker.incarnation && now >= start.nextStopAt) {
                start.nextStopAt = now + STOP_INTERVAL_MS;
                this.sendStop(worker, start.task, start.run);
            }
        }
        if (starts.size === 0) {
            this.starts.delete(id);
        }
    }

    /** Forgets the starts of workers that are gone. @param now Time in ms. */
    prune(now: number): void {
        for (const [worker, starts] of this.starts) {
            starts.forEach((start, key) => now >= start.expiresAt && starts.delete(key));
            if (starts.size === 0) {
                this.starts.delete(worker);
            }
        }
    }
}
