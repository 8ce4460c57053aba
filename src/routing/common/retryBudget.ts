/** Repetitions allowed for each request received. */
const REPETITIONS_PER_REQUEST = 0.1;

/** Repetitions that can be saved up; also what is there at the start. */
const MAX_SAVED_REPETITIONS = 10;

/** Bounds repetitions to a share of the requests, so that they cannot multiply an overload. */
export class RetryBudget {
    private saved = MAX_SAVED_REPETITIONS;

    private constructor() {}

    /** @returns A full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Notes a request from a caller. */
    earn(): void {
        this.saved = Math.min(MAX_SAVED_REPETITIONS, this.saved + REPETITIONS_PER_REQUEST);
    }

    /** @returns Whether a repetition is allowed; it is counted if so. */
    spend(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
