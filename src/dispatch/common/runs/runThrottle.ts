import { EffectSink } from "../../../base/common/effectSink";
import { DispatchEffect } from "../scheduler/dispatchEffects";
import { FenceAuthority } from "../workers/fenceAuthority";
import { Run } from "./run";
import { FindWorker } from "./startAdmission";

/** Orders the speeds of runs at their workers. */
export class RunThrottle {
    private constructor(
        private readonly authority: FenceAuthority,
        private readonly find: FindWorker,
        private readonly effects: EffectSink<DispatchEffect>,
    ) {}

    /**
     * @param epoch Epoch of the leader.
     * @param find Finds the worker of a run.
     * @param effects Sink for the orders.
     * @returns The throttle.
     */
    static create(authority: FenceAuthority, find: FindWorker, effects: EffectSink<DispatchEffect>): RunThrottle {
        return new RunThrottle(authority, find, effects);
    }

    /** Orders a new speed. @param run The run. @param percent Percent of full speed. @param now Time in ms. */
    change(run: Run, percent: number, now: number): void {
        const worker = this.find(run.record.worker);
        if (worker === undefined) {
            return;
        }
        const isIncrease = percent > run.speedPercent;
        run.setSpeed(percent, now);
        run.isSpeedOrderInFlight = true;
        const { task, run: number } = run.record;
        const order = { task, run: number, fence: this.authority.fence, percent };
        this.effects.emit({ kind: "throttle", worker: worker.entry, order, isIncrease });
        const data = { task, run: number, worker: worker.entry.id, percent };
        this.effects.emit({ kind: "decision", name: "run-throttled", data });
    }

    /** Handles the answer to the latest order. @param isDone Whether the worker has applied it. */
    handleAnswer(run: Run, isDone: boolean): void {
        run.isSpeedOrderInFlight = false;
        run.isSpeedConfirmed &&= isDone;
    }
}
