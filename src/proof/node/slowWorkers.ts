import { LeasedWorker } from "../../standin/common/leasedWorker";
import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

/** Bounds of the share of the workers that become slow at the same time, in percent, and of how much slower they work. */
const SLOW_PERCENT = { min: 50, max: 80 };
const SLOWNESS = { min: 8, max: 12 };

/** Lets random workers of a trial work several times slower for some time. */
export class SlowWorkers {
    /** Draws for the workers that become slow, which leave the other draws of a seed as they are. */
    private readonly random: Random;
    /** Time (ms) until which a worker is slow. */
    private readonly slowUntil = new Map<LeasedWorker, number>();

    private constructor(
        seed: number,
        private readonly schedule: TrialSchedule,
        private readonly trace: string[],
    ) {
        this.random = Random.create(seed);
    }

    /** @param seed Seed of the trial. @param schedule Its clock. @param trace Lines of its trace. @returns No slow workers. */
    static create(seed: number, schedule: TrialSchedule, trace: string[]): SlowWorkers {
        return new SlowWorkers(seed, schedule, trace);
    }

    /** Slows down some workers. @param workers Those to choose from. @param durationMs Duration in ms. */
    slowDown(workers: readonly LeasedWorker[], durationMs: number): void {
        const { schedule, random } = this;
        const percent = random.between(SLOW_PERCENT.min, SLOW_PERCENT.max);
        const slowness = random.between(SLOWNESS.min, SLOWNESS.max);
        const chosen = workers.filter(() => random.chance(percent / 100));
        for (const worker of chosen) {
            worker.setSlowness(slowness, schedule.now);
            this.slowUntil.set(worker, schedule.now + durationMs);
            this.trace.push(`${Math.round(schedule.now)} FAULT slow ${worker.entry.id} ${slowness} ${durationMs}`);
        }
        schedule.add(durationMs, () =>
            chosen
                .filter(worker => schedule.now >= this.slowUntil.get(worker)!)
                .forEach(worker => worker.setSlowness(1, schedule.now)),
        );
    }
}
