/** Retries allowed for each request received. */
const RETRIES_PER_REQUEST_RATIO = 0.1;

/** Maximum number of retries that accumulate; also the initial number. */
const MAX_AVAILABLE_RETRIES = 10;

/** Limits retries to a share of the requests, so that they cannot amplify an overload. */
export class RetryBudget {
    private available = MAX_AVAILABLE_RETRIES;

    private constructor() {}

    /** @returns A full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Counts a request from a caller, which allows a fraction of a retry. */
    recordRequest(): void {
        this.available = Math.min(MAX_AVAILABLE_RETRIES, this.available + RETRIES_PER_REQUEST_RATIO);
    }

    /** @returns Whether a retry is allowed; it is counted if so. */
    trySpend(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
