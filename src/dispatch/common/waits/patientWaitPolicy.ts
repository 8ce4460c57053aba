import { fallingSpeedPercent, Wait, WaitPolicy } from "./waitPolicy";

/** Time without any run for which a job waits for a worker on which its tasks run at full speed, in ms. */
const FULL_SPEED_WAIT_MS = 3_000;

/** Time without any run after which a job accepts any speed, in ms. */
const ANY_SPEED_WAIT_MS = 8_000;

/** The wait while the service has little room: tasks start where they run fastest, and leave room for those with reserved CPU. */
export class PatientWaitPolicy extends WaitPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): PatientWaitPolicy {
        return new PatientWaitPolicy();
    }

    override minSpeedPercent({ waitedMs }: Pick<Wait, "waitedMs">): number {
        return fallingSpeedPercent(waitedMs, FULL_SPEED_WAIT_MS, ANY_SPEED_WAIT_MS);
    }
}
