import { headroomOf, LatencyModel, measuredCpuShare } from "../placement/latencyModel";
import { Run } from "./run";
import { WorkerContact } from "../workers/workerContact";

/** Headroom that latency-critical tasks keep, as ratio of target to tail latency: reports are delayed and imprecise. */
const MIN_HEADROOM_RATIO = 1.12;

/** Time over which a rising load is extrapolated, in s: age of a report plus the time until an order takes effect. */
const EXTRAPOLATION_HORIZON_S = 0.8;

/** Minimum increase of speed that is worth an order, in percent. */
const MIN_INCREASE_PERCENT = 15;

/** Granularity of speeds, in percent. */
const SPEED_STEP_PERCENT = 5;

/** Maximum increase of speed per order, in percent. */
const MAX_INCREASE_PERCENT = 50;

/** Time after a change of speed until reports show its effect, in ms. */
const SETTLING_TIME_MS = 600;

/**
 * Time over its target after which all best-effort runs next to a latency-critical task are throttled to 0, in ms,
 * whatever the model predicts.
 */
const MAX_OVER_TARGET_MS = 1_500;

/** Lower limit of the interference, to avoid a division by zero. */
const MIN_INTERFERENCE = 0.001;

/** Sets the speed of best-effort runs so that the latency-critical tasks on the same worker meet their targets. */
export class ThrottleController {
    /** Time (ms) of the latest change of speed on a worker. */
    private readonly changedAt = new WeakMap<WorkerContact, number>();
    /** Time (ms) since which a latency-critical run has been over its target. */
    private readonly overTargetSince = new WeakMap<Run, number>();

    private constructor(
        private readonly model: LatencyModel,
        private readonly throttle: (run: Run, percent: number) => void,
    ) {}

    /**
     * @param model Estimates the interference between images.
     * @param throttle Sets the speed of a run, in percent.
     * @returns The controller.
     */
    static create(model: LatencyModel, throttle: (run: Run, percent: number) => void): ThrottleController {
        return new ThrottleController(model, throttle);
    }

    /** Adjusts the speeds on a worker to its latest reports. @param worker The worker. @param now Time in ms. */
    review(worker: WorkerContact, now: number): void {
        const runs = [...worker.runs.values()].filter(run => run.state === "running");
        runs.forEach(run => this.trackTarget(run, now));
        const isSettled = now - (this.changedAt.get(worker) ?? -Infinity) >= SETTLING_TIME_MS;
        if (!isSettled && !runs.some(run => this.isOverTargetTooLong(run, now))) {
            return;
        }
        const bestEffort = runs.filter(run => run.task.step.usesSpareCpu);
        if (bestEffort.length > 0) {
            this.distribute(this.headroomBudgets(runs, worker, now), bestEffort, worker, now);
        }
    }

    /**
     * Orders the speed that was planned for a run: it starts at full speed.
     * @param run A run whose start was accepted.
     * @param worker Its worker.
     * @param now Time in ms.
     */
    applyPlannedSpeed(run: Run, worker: WorkerContact, now: number): void {
        if (run.state === "running" && !run.isSpeedConfirmed && !run.isSpeedOrderInFlight) {
            this.changedAt.set(worker, now);
            this.throttle(run, run.speedPercent);
        }
    }

    /** @returns The headroom that each latency-critical run can lose to interference. */
    private headroomBudgets(runs: readonly Run[], worker: WorkerContact, now: number): HeadroomBudget[] {
        return runs.flatMap(run => {
            const observed = headroomOf(run);
            if (observed === undefined) {
                return [];
            }
            const ownBaseline =
                observed + this.model.totalInterference(run, worker, each => measuredCpuShare(each, worker));
            const baseline = this.model.baseline(run);
            const current = (ownBaseline + baseline.headroom) / 2;
            // The load returns to its recent peak and rarely exceeds it.
            const minExpected = Math.min(current, baseline.minHeadroom);
            const expected = Math.max(minExpected, current + Math.min(0, baseline.trendPerS) * EXTRAPOLATION_HORIZON_S);
            const remaining = this.isOverTargetTooLong(run, now) ? 0 : Math.max(0, expected - MIN_HEADROOM_RATIO);
            return [{ image: run.task.step.image, remaining }];
        });
    }

    private trackTarget(run: Run, now: number): void {
        const headroom = headroomOf(run);
        // Reports are rounded to whole ms, so a latency reported at the target may be over it.
        if (headroom === undefined || headroom > 1) {
            this.overTargetSince.delete(run);
        } else if (!this.overTargetSince.has(run)) {
            this.overTargetSince.set(run, now);
        }
    }

    private isOverTargetTooLong(run: Run, now: number): boolean {
        const since = this.overTargetSince.get(run);
        return since !== undefined && now - since >= MAX_OVER_TARGET_MS;
    }

    /** Allots speed to the runs in order of interference, lowest first, within the headroom budgets. */
    private distribute(
        budgets: readonly HeadroomBudget[],
        bestEffort: readonly Run[],
        worker: WorkerContact,
        now: number,
    ): void {
        const candidates = bestEffort.map(run => {
            const fullShare = run.task.step.request.cpuMillis / worker.entry.capacity.cpuMillis;
            const interferences = budgets.map(budget =>
                this.model.interference(budget.image, run.task.step.image, fullShare),
            );
            return { run, interferences, maxInterference: Math.max(0, ...interferences) };
        });
        candidates.sort((a, b) => a.maxInterference - b.maxInterference);
        for (const { run, interferences } of candidates) {
            const share = Math.min(
                1,
                ...budgets.map((each, index) => each.remaining / Math.max(MIN_INTERFERENCE, interferences[index])),
            );
            budgets.forEach(
                (each, index) => (each.remaining = Math.max(0, each.remaining - share * interferences[index])),
            );
            this.changeSpeed(worker, run, Math.floor((share * 100) / SPEED_STEP_PERCENT) * SPEED_STEP_PERCENT, now);
        }
    }

    private changeSpeed(worker: WorkerContact, run: Run, wantedPercent: number, now: number): void {
        const percent = Math.min(wantedPercent, run.speedPercent + MAX_INCREASE_PERCENT);
        const isRestored = percent === 100 && run.speedPercent < 100;
        const isWorthwhile =
            percent < run.speedPercent || percent - run.speedPercent >= MIN_INCREASE_PERCENT || isRestored;
        if (!run.isSpeedOrderInFlight && (!run.isSpeedConfirmed || isWorthwhile)) {
            this.changedAt.set(worker, now);
            this.throttle(run, percent);
        }
    }
}

/** Headroom that a latency-critical run can still lose. */
interface HeadroomBudget {
    readonly image: string | undefined;
    remaining: number;
}
