import { expectedShare, headroomOf, LatencyModel, measuredShare } from "./latencyModel";
import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Headroom below which the runs beside a task that serves are slowed down; the load may rise before the next report. */
const SLOW_DOWN_BELOW = 1.2;

/** Headroom that is left when runs speed up again. */
const SPEED_UP_ABOVE = 1.5;

/** Least change of speed that is worth an order, in percent. */
const LEAST_CHANGE = 10;

/** Largest increase of speed at once, in percent. */
const LARGEST_INCREASE = 40;

/** Time after a change of speed before reports show it, in ms. */
const SETTLE_MS = 700;

/** Sets the speed of runs that use spare processor time, so that tasks beside them keep their latency targets. */
export class Pacer {
    private readonly changedAt = new WeakMap<WorkerContact, number>();

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
        if (now - (this.changedAt.get(worker) ?? -Infinity) < SETTLE_MS) {
            return;
        }
        const runs = [...worker.runs.values()].filter(run => run.state === "running");
        const spare = runs.filter(run => run.task.step.usesSpareCpu);
        const serving = runs.filter(run => headroomOf(run) !== undefined);
        if (spare.length === 0 || serving.length === 0) {
            spare.filter(run => run.percent < 100).forEach(run => this.change(worker, run, 100, now));
            return;
        }
        const worst = serving.reduce((a, b) => (headroomOf(a)! < headroomOf(b)! ? a : b));
        if (headroomOf(worst)! < SLOW_DOWN_BELOW) {
            this.slowDown(worst, spare, worker, now);
        } else {
            this.speedUp(serving, spare, worker, now);
        }
    }

    /** Slows down the runs that press most until the headroom is as large as wanted. */
    private slowDown(serving: Run, spare: readonly Run[], worker: WorkerContact, now: number): void {
        let missing = SPEED_UP_ABOVE - headroomOf(serving)!;
        const pressing = spare
            .map(run => ({ run, pressure: this.pressureBy(run, serving, measuredShare(run, worker)) }))
            .filter(each => each.pressure > 0)
            .sort((a, b) => b.pressure - a.pressure);
        for (const { run, pressure } of pressing) {
            if (missing <= 0) {
                return;
            }
            const kept = Math.max(0, 1 - missing / pressure);
            missing -= pressure * (1 - kept);
            const percent = Math.floor((run.percent * kept) / LEAST_CHANGE) * LEAST_CHANGE;
            this.change(worker, run, percent, now);
        }
    }

    /** Speeds up the run that presses least, as far as every task that serves keeps its headroom. */
    private speedUp(serving: readonly Run[], spare: readonly Run[], worker: WorkerContact, now: number): void {
        const slowed = spare
            .filter(run => run.percent < 100)
            .map(run => ({ run, percent: this.allowedPercent(run, serving, worker) }))
            .sort((a, b) => b.percent - b.run.percent - (a.percent - a.run.percent));
        const [best] = slowed;
        if (best !== undefined && best.percent - best.run.percent >= LEAST_CHANGE) {
            this.change(worker, best.run, best.percent, now);
        }
    }

    private allowedPercent(run: Run, serving: readonly Run[], worker: WorkerContact): number {
        const full = run.task.step.request.cpuMillis / worker.entry.capacity.cpuMillis;
        let share = full;
        for (const each of serving) {
            const spareHeadroom = headroomOf(each)! - SPEED_UP_ABOVE;
            const perShare = this.pressureBy(run, each, 1);
            const present = expectedShare(run, worker);
            share = perShare <= 0 ? share : Math.min(share, present + spareHeadroom / perShare);
        }
        const percent = Math.min(100, run.percent + LARGEST_INCREASE, (share / full) * 100);
        return Math.floor(percent / LEAST_CHANGE) * LEAST_CHANGE;
    }

    private pressureBy(run: Run, serving: Run, share: number): number {
        return this.model.pressure(serving.task.step.image, run.task.step.image, share);
    }

    private change(worker: WorkerContact, run: Run, percent: number, now: number): void {
        if (percent !== run.percent) {
            this.changedAt.set(worker, now);
            this.throttle(run, percent);
        }
    }
}
