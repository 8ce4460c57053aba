import { CancellationChecker } from "./cancellationChecker";
import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

/** Bounds of the time from the acceptance of a job to its cancellation, in ms. */
const MIN_DELAY_MS = 50;
const MAX_DELAY_MS = 6_000;

/** Time after which a cancellation without an acknowledgement is sent again, in ms. */
const RETRY_INTERVAL_MS = 3_200;

const MAX_ATTEMPTS = 6;

/** Distinguishes the random sequence of the cancellations from that of the trial with the same seed. */
const SEED_OFFSET = 7_919;

/** Cancels some jobs of a trial. It draws from its own sequence, so that trials without cancellations stay the same. */
export class TrialCancellations {
    private readonly random: Random;
    private readonly requested = new Set<string>();

    private constructor(
        seed: number,
        private readonly ratio: number,
        private readonly schedule: TrialSchedule,
        private readonly checker: CancellationChecker,
        private readonly send: (id: string, random: Random) => void,
    ) {
        this.random = Random.create(seed + SEED_OFFSET);
    }

    /**
     * @param seed Seed of the trial.
     * @param ratio Share of the jobs that are cancelled, from 0 to 1.
     * @param schedule Clock of the trial.
     * @param checker Knows which cancellations were acknowledged.
     * @param send Sends the cancellation of a job to an instance that it draws.
     * @returns The cancellations; none has been sent.
     */
    static create(
        seed: number,
        ratio: number,
        schedule: TrialSchedule,
        checker: CancellationChecker,
        send: (id: string, random: Random) => void,
    ): TrialCancellations {
        return new TrialCancellations(seed, ratio, schedule, checker, send);
    }

    /** @param id A job. @returns Whether its cancellation was sent. */
    isRequested(id: string): boolean {
        return this.requested.has(id);
    }

    /** Cancels a share of the jobs some time after their acceptance. @param id A job that was just accepted. */
    onAccepted(id: string): void {
        if (this.ratio > 0 && this.random.chance(this.ratio)) {
            this.schedule.add(this.random.between(MIN_DELAY_MS, MAX_DELAY_MS), () => this.cancel(id, MAX_ATTEMPTS));
        }
    }

    private cancel(id: string, attemptsLeft: number): void {
        if (this.checker.isCancelled(id) || attemptsLeft === 0) {
            return;
        }
        this.requested.add(id);
        this.send(id, this.random);
        this.schedule.add(RETRY_INTERVAL_MS, () => this.cancel(id, attemptsLeft - 1));
    }
}
