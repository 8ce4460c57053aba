/** Weight of the newest attempt in a family's failure rate. */
const SMOOTHING_RATIO = 0.1;

/** Failure rate of each task family, over all workers. */
export class FamilyFailures {
    private readonly rates = new Map<string, number>();

    private constructor() {}

    /** @returns Rates without samples. */
    static create(): FamilyFailures {
        return new FamilyFailures();
    }

    /** @param family Name of a family. @returns Failure rate of its recent attempts, 0 to 1. */
    rate(family: string): number {
        return this.rates.get(family) ?? 0;
    }

    /** Records the end of an attempt. @param family Name of the family. @param isFailed Whether the attempt failed. */
    record(family: string, isFailed: boolean): void {
        const rate = this.rate(family);
        this.rates.set(family, rate + SMOOTHING_RATIO * ((isFailed ? 1 : 0) - rate));
    }
}
