import { headroomOf, LatencyModel, measuredCpuShare } from "./latencyModel";
import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Headroom that tasks which serve are to keep: the reports are late and rough. */
const MIN_HEADROOM_RATIO = 1.12;

/** How far ahead the load is extrapolated when it rises, in s: age of a report and time until an order shows. */
const EXTRAPOLATION_HORIZON_S = 0.8;

/** Least increase of speed that is worth an order, and the steps in which speeds are given, in percent. */
const MIN_INCREASE_PERCENT = 15;
const SPEED_STEP_PERCENT = 5;

/** Largest increase of speed at once, in percent. */
const MAX_INCREASE_PERCENT = 50;

/** Time after a change of speed before reports show it, in ms. */
const SETTLING_TIME_MS = 600;

/** Time over its target after which a task that serves is left alone on its worker, in ms, whatever the model says. */
const MAX_OVER_TARGET_MS = 1_500;

/** Least pressure that is assumed, so that a run without any is divided by something. */
const MIN_INTERFERENCE = 0.001;

/** Sets the speed of runs that use spare processor time, so that tasks beside them keep their latency targets. */
export class ThrottleController {
    private readonly changedAt = new WeakMap<WorkerContact, number>();
    /** Since when tasks that serve have been over their targets. */
    private readonly overTargetSince = new WeakMap<Run, number>();

    private constructor(
        private readonly model: LatencyModel,
        private readonly throttle: (run: Run, percent: number) => void,
    ) {}

    /**
     * @param model Knows the pressures between images.
     * @param throttle Gives a run a share of its speed, 0 to 100.
     * @returns The pacer.
     */
    static create(model: LatencyModel, throttle: (run: Run, percent: number) => void): ThrottleController {
        return new ThrottleController(model, throttle);
    }

    /** Looks at the latest reports of a worker's runs. @param worker The worker. @param now Time in ms. */
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

    /** How much headroom each task that serves can give to the runs beside it. */
    private headroomBudgets(runs: readonly Run[], worker: WorkerContact, now: number): HeadroomBudget[] {
        return runs.flatMap(run => {
            const observed = headroomOf(run);
            if (observed === undefined) {
                return [];
            }
            const ownBaseline =
                observed + this.model.totalInterference(run, worker, each => measuredCpuShare(each, worker));
            const baseline = this.model.baseline(run);
            const present = (ownBaseline + baseline.headroom) / 2;
            // The load returns to its peaks and rarely exceeds them.
            const lowest = Math.min(present, baseline.min);
            const expected = Math.max(lowest, present + Math.min(0, baseline.trendPerS) * EXTRAPOLATION_HORIZON_S);
            const remaining = this.isOverTargetTooLong(run, now) ? 0 : Math.max(0, expected - MIN_HEADROOM_RATIO);
            return [{ image: run.task.step.image, remaining }];
        });
    }

    private trackTarget(run: Run, now: number): void {
        const headroom = headroomOf(run);
        // Reports are whole ms, so one that is at the target may be over it.
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

    /** Gives speed to the runs that press least first, as long as no task that serves loses more than it can. */
    private distribute(
        budgets: readonly HeadroomBudget[],
        bestEffort: readonly Run[],
        worker: WorkerContact,
        now: number,
    ): void {
        const demands = bestEffort.map(run => {
            const full = run.task.step.request.cpuMillis / worker.entry.capacity.cpuMillis;
            const interferences = budgets.map(budget =>
                this.model.interference(budget.image, run.task.step.image, full),
            );
            return { run, interferences, maxInterference: Math.max(0, ...interferences) };
        });
        demands.sort((a, b) => a.maxInterference - b.maxInterference);
        for (const { run, interferences } of demands) {
            const share = Math.min(
                1,
                ...budgets.map((each, at) => each.remaining / Math.max(MIN_INTERFERENCE, interferences[at])),
            );
            budgets.forEach((each, at) => (each.remaining = Math.max(0, each.remaining - share * interferences[at])));
            this.changeSpeed(worker, run, Math.floor((share * 100) / SPEED_STEP_PERCENT) * SPEED_STEP_PERCENT, now);
        }
    }

    private changeSpeed(worker: WorkerContact, run: Run, wantedPercent: number, now: number): void {
        const percent = Math.min(wantedPercent, run.speedPercent + MAX_INCREASE_PERCENT);
        const isRestored = percent === 100 && run.speedPercent < 100;
        const isWorthwhile =
            percent < run.speedPercent || percent - run.speedPercent >= MIN_INCREASE_PERCENT || isRestored;
        if (!run.isSpeedConfirmed || isWorthwhile) {
            this.changedAt.set(worker, now);
            this.throttle(run, percent);
        }
    }
}

/** Headroom that a task which serves can still lose. */
interface HeadroomBudget {
    readonly image: string | undefined;
    remaining: number;
}
