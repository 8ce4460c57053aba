import { Invariants } from "../../base/common/invariants";
import { AttemptOutcome, StartOrder } from "../../services/common/worker";
import { WorkerObserver } from "../../standin/common/simulatedWorker";

/** Counts task starts and ends of workers, and asserts that no task runs on two workers at once. */
export class RunCounter extends WorkerObserver {
    private readonly running = new Map<string, string>();
    starts = 0;
    done = 0;
    evictions = 0;

    private constructor() {
        super();
    }

    /** @returns A counter at zero. */
    static create(): RunCounter {
        return new RunCounter();
    }

    override onStart(worker: string, order: StartOrder): void {
        const otherWorker = this.running.get(order.task);
        const detail = () => `${order.task} started on ${worker} while running on ${otherWorker}`;
        Invariants.instance.check("single-run", otherWorker === undefined, detail);
        this.running.set(order.task, worker);
        this.starts += 1;
    }

    override onEnd(_worker: string, order: StartOrder, outcome: AttemptOutcome): void {
        this.running.delete(order.task);
        this.done += outcome === "done" ? 1 : 0;
        this.evictions += outcome === "evicted" ? 1 : 0;
    }
}
