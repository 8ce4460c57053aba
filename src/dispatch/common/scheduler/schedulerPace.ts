import { LeaderPace, LoopView } from "./streamViews";
import { WorkerPool } from "../workers/workerPool";

/** How long the leader takes, as its loop and the answers to its starts show. */
export class SchedulerPace implements LeaderPace {
    private constructor(
        private readonly loop: LoopView | undefined,
        private readonly pool: WorkerPool,
    ) {}

    /**
     * @param loop How late the loop is; left out if it is not measured.
     * @param pool The workers, which answer the starts.
     * @returns The pace.
     */
    static create(loop: LoopView | undefined, pool: WorkerPool): SchedulerPace {
        return new SchedulerPace(loop, pool);
    }

    get delayMs(): number {
        return this.loop?.summary.mostMs ?? 0;
    }

    get startMs(): number | undefined {
        return this.pool.startMs;
    }
}
