import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/** Share of its latency target from which the runs beside a task are slowed down, and below which they speed up. */
const SLOW_DOWN_AT = 0.85;
const SPEED_UP_BELOW = 0.6;

/** Factor by which runs are slowed down near the target, and the step by which they speed up, in percent. */
const SLOW_DOWN_FACTOR = 0.5;
const SPEED_UP_STEP = 20;

/** Lowest share of its speed that a run is given before it stands still, in percent. */
const LOWEST_PERCENT = 10;

/** Sets the speed of runs that use spare processor time, so that tasks beside them keep their latency targets. */
export class Pacer {
    private constructor(private readonly throttle: (run: Run, percent: number) => void) {}

    /** @param throttle Gives a run a share of its speed, 0 to 100. @returns The pacer. */
    static create(throttle: (run: Run, percent: number) => void): Pacer {
        return new Pacer(throttle);
    }

    /** Looks at the latest reports of a worker's runs. @param worker The worker. */
    review(worker: WorkerContact): void {
        const runs = [...worker.runs.values()].filter(run => run.state === "running");
        const spare = runs.filter(run => run.task.step.usesSpareCpu);
        if (spare.length === 0) {
            return;
        }
        const worst = Math.max(0, ...runs.map(latencyShare));
        for (const run of spare) {
            const percent = nextPercent(run.percent, worst);
            if (percent !== run.percent) {
                this.throttle(run, percent);
            }
        }
    }
}

function latencyShare(run: Run): number {
    const { tailTargetMs } = run.task.step;
    return tailTargetMs === undefined || run.report === undefined ? 0 : run.report.measure / tailTargetMs;
}

function nextPercent(percent: number, worst: number): number {
    if (worst > 1) {
        return 0;
    }
    if (worst > SLOW_DOWN_AT) {
        const slower = Math.round(percent * SLOW_DOWN_FACTOR);
        return slower < LOWEST_PERCENT ? 0 : slower;
    }
    return worst < SPEED_UP_BELOW ? Math.min(100, percent + SPEED_UP_STEP) : percent;
}
