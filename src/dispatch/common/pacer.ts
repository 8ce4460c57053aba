import { headroomOf, LatencyModel, measuredCpuShare } from "./latencyModel";
import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Headroom that tasks which serve are to keep: the reports are late and rough. */
const KEPT_HEADROOM = 1.12;

/** How far ahead the load is extrapolated when it rises, in s: age of a report and time until an order shows. */
const HORIZON_S = 0.8;

/** Least increase of speed that is worth an order, and the steps in which speeds are given, in percent. */
const LEAST_INCREASE = 15;
const STEP = 5;

/** Largest increase of speed at once, in percent. */
const LARGEST_INCREASE = 50;

/** Time after a change of speed before reports show it, in ms. */
const SETTLE_MS = 600;

/** Time over its target after which a task that serves is left alone on its worker, in ms, whatever the model says. */
const LONGEST_OVER_MS = 1_500;

/** Least pressure that is assumed, so that a run without any is divided by something. */
const LEAST_PRESSURE = 0.001;

/** Sets the speed of runs that use spare processor time, so that tasks beside them keep their latency targets. */
export class Pacer {
    private readonly changedAt = new WeakMap<WorkerContact, number>();
    /** Since when tasks that serve have been over their targets. */
    private readonly overSince = new WeakMap<Run, number>();

    private constructor(
        private readonly model: LatencyModel,
        private readonly throttle: (run: Run, percent: number) => void,
    ) {}

    /**
     * @param model Knows the pressures between images.
     * @param throttle Gives a run a share of its speed, 0 to 100.
     * @returns The pacer.
     */
    static create(model: LatencyModel, throttle: (run: Run, percent: number) => void): Pacer {
        return new Pacer(model, throttle);
    }

    /** Looks at the latest reports of a worker's runs. @param worker The worker. @param now Time in ms. */
    review(worker: WorkerContact, now: number): void {
        const runs = [...worker.runs.values()].filter(run => run.state === "running");
        runs.forEach(run => this.noteTarget(run, now));
        const isSettled = now - (this.changedAt.get(worker) ?? -Infinity) >= SETTLE_MS;
        if (!isSettled && !runs.some(run => this.isOverLong(run, now))) {
            return;
        }
        const spare = runs.filter(run => run.task.step.usesSpareCpu);
        if (spare.length > 0) {
            this.share(this.budgets(runs, worker, now), spare, worker, now);
        }
    }

    /** How much headroom each task that serves can give to the runs beside it. */
    private budgets(runs: readonly Run[], worker: WorkerContact, now: number): Budget[] {
        return runs.flatMap(run => {
            const observed = headroomOf(run);
            if (observed === undefined) {
                return [];
            }
            const own = observed + this.model.totalInterference(run, worker, each => measuredCpuShare(each, worker));
            const base = this.model.baseline(run);
            const present = (own + base.headroom) / 2;
            // The load returns to its peaks and rarely exceeds them.
            const lowest = Math.min(present, base.min);
            const expected = Math.max(lowest, present + Math.min(0, base.trendPerS) * HORIZON_S);
            const left = this.isOverLong(run, now) ? 0 : Math.max(0, expected - KEPT_HEADROOM);
            return [{ image: run.task.step.image, left }];
        });
    }

    private noteTarget(run: Run, now: number): void {
        const headroom = headroomOf(run);
        // Reports are whole ms, so one that is at the target may be over it.
        if (headroom === undefined || headroom > 1) {
            this.overSince.delete(run);
        } else if (!this.overSince.has(run)) {
            this.overSince.set(run, now);
        }
    }

    private isOverLong(run: Run, now: number): boolean {
        const since = this.overSince.get(run);
        return since !== undefined && now - since >= LONGEST_OVER_MS;
    }

    /** Gives speed to the runs that press least first, as long as no task that serves loses more than it can. */
    private share(budgets: readonly Budget[], spare: readonly Run[], worker: WorkerContact, now: number): void {
        const demands = spare.map(run => {
            const full = run.task.step.request.cpuMillis / worker.entry.capacity.cpuMillis;
            const pressures = budgets.map(budget => this.model.interference(budget.image, run.task.step.image, full));
            return { run, pressures, most: Math.max(0, ...pressures) };
        });
        demands.sort((a, b) => a.most - b.most);
        for (const { run, pressures } of demands) {
            const share = Math.min(
                1,
                ...budgets.map((each, at) => each.left / Math.max(LEAST_PRESSURE, pressures[at])),
            );
            budgets.forEach((each, at) => (each.left = Math.max(0, each.left - share * pressures[at])));
            this.change(worker, run, Math.floor((share * 100) / STEP) * STEP, now);
        }
    }

    private change(worker: WorkerContact, run: Run, wanted: number, now: number): void {
        const percent = Math.min(wanted, run.speedPercent + LARGEST_INCREASE);
        const isRestored = percent === 100 && run.speedPercent < 100;
        const isWorth = percent < run.speedPercent || percent - run.speedPercent >= LEAST_INCREASE || isRestored;
        if (!run.isSpeedConfirmed || isWorth) {
            this.changedAt.set(worker, now);
            this.throttle(run, percent);
        }
    }
}

/** Headroom that a task which serves can still lose. */
interface Budget {
    readonly image: string | undefined;
    left: number;
}
