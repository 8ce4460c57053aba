import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

/** Distinguishes the random sequence of the drains from that of the trial with the same seed, and from those of the next ones. */
const SEED_FACTOR = 15_485_863;

/** Bounds of the time from the notice of a worker to when it leaves, in ms. */
const MIN_DRAIN_MS = 6_000;
const MAX_DRAIN_MS = 10_000;

/** Largest number of workers that announce at the same time that they leave. */
const MAX_WORKERS_PER_NOTICE = 2;

/** Bounds of the time from a notice to the kill of the leader, in ms. */
const KILL_DELAY_MS = { min: -2_500, max: 1_000 };

/** Workers of a trial that leave, and whether the leader is killed around their notices. */
export interface DrainPlan {
    /** Mean time between two notices, in ms. */
    readonly everyMs: number;
    /** Whether the leader is killed shortly before or after each notice. */
    readonly killsLeaders: boolean;
}

/** What the drains change in a trial. */
export interface DrainHost {
    /** Numbers of the workers that may announce now that they leave. */
    readonly candidates: readonly number[];

    /** Lets a worker announce that it leaves, and leave. @param index Its number. @param leftMs Time until then, in ms. */
    announceDrain(index: number, leftMs: number): void;

    /** Kills the leader, if there is one. */
    killLeader(): void;
}

/** Lets workers of a trial announce that they leave. It draws from its own sequence, as the cancellations do. */
export class TrialDrains {
    private readonly random: Random;

    private constructor(
        seed: number,
        private readonly plan: DrainPlan,
        private readonly untilMs: number,
        private readonly schedule: TrialSchedule,
        private readonly host: DrainHost,
    ) {
        this.random = Random.create(Math.imul(seed, SEED_FACTOR));
    }

    /**
     * Starts to plan notices.
     * @param seed Seed of the trial.
     * @param plan How often workers leave.
     * @param untilMs Time (ms) of the last notice.
     * @param schedule Clock of the trial.
     * @param host The trial.
     * @returns The drains.
     */
    static create(
        seed: number,
        plan: DrainPlan,
        untilMs: number,
        schedule: TrialSchedule,
        host: DrainHost,
    ): TrialDrains {
        const drains = new TrialDrains(seed, plan, untilMs, schedule, host);
        drains.planNext();
        return drains;
    }

    private planNext(): void {
        const noticeInMs = -KILL_DELAY_MS.min + this.random.between(1, 2 * (this.plan.everyMs + KILL_DELAY_MS.min));
        if (this.schedule.now + noticeInMs > this.untilMs) {
            return;
        }
        const killDelayMs = this.random.between(KILL_DELAY_MS.min, KILL_DELAY_MS.max);
        if (this.plan.killsLeaders) {
            this.schedule.add(noticeInMs + killDelayMs, () => this.host.killLeader());
        }
        this.schedule.add(noticeInMs, () => {
            this.announce();
            this.planNext();
        });
    }

    private announce(): void {
        for (let left = this.random.between(1, MAX_WORKERS_PER_NOTICE); left > 0; left--) {
            const { candidates } = this.host;
            const drainMs = this.random.between(MIN_DRAIN_MS, MAX_DRAIN_MS);
            if (candidates.length > 0) {
                this.host.announceDrain(this.random.pick(candidates), drainMs);
            }
        }
    }
}
