/**
 * Classes of pairs. Two images either share no scarce resource of a worker, or they compete for one: the loss is then about ten
 * times as high, and few pairs lie between.
 */
type PairClass = "light" | "heavy";

/** Loss of headroom when a neighbor uses all CPU of the worker, and its variance. */
interface Loss {
    mean: number;
    variance: number;
}

/** Losses that are assumed for a pair without reports. */
const PRIOR_LOSSES: Readonly<Record<PairClass, Readonly<Loss>>> = {
    light: { mean: 0.7, variance: 0.25 },
    heavy: { mean: 14, variance: 16 },
};

/** Loss that separates the classes. */
const CLASS_LIMIT = 5;

/** Natural logarithm of the odds that a pair without reports is heavy. */
const PRIOR_LOG_ODDS = Math.log(0.3 / 0.7);

/** Limit of the logarithm of the odds: few reports are enough to change a class that was wrong. */
const MAX_LOG_ODDS = 4;

/** Limit of what a single report changes in the logarithm of the odds: its error may be large. */
const MAX_REPORT_EVIDENCE = 0.7;

/** Limit of the error of a report in standard deviations: the load of a single task rises for seconds, whatever runs beside it. */
const MAX_ERROR_DEVIATIONS = 2;

/** Growth of a variance with each report, since interference changes over time. */
const DRIFT_VARIANCE = 0.0001;

/** Share of the variance between the classes from which on a stored estimate is of a pair whose class is not known. */
const MIXED_VARIANCE_RATIO = 0.5;

/**
 * Estimate of the interference of a pair of images: two Kalman filters, one for each class, and the odds between them. A filter with
 * one wide prior would take a light pair for half a heavy one after a single bad report, and the other way round.
 */
export class PairInterference {
    /** Time (ms) of the latest report that changed the estimate, or `undefined` if this leader has seen none. */
    updatedAt: number | undefined;

    private constructor(
        private readonly losses: Record<PairClass, Loss>,
        private logOdds: number,
    ) {}

    /** @returns The estimate for a pair without reports. */
    static create(): PairInterference {
        return new PairInterference(
            { light: { ...PRIOR_LOSSES.light }, heavy: { ...PRIOR_LOSSES.heavy } },
            PRIOR_LOG_ODDS,
        );
    }

    /**
     * @param mean Mean of an earlier estimate.
     * @param variance Its variance.
     * @returns The estimate, as far as the two tell it.
     */
    static restore(mean: number, variance: number): PairInterference {
        const estimate = PairInterference.create();
        const { light, heavy } = PRIOR_LOSSES;
        const ratio = Math.min(1, Math.max(0, (mean - light.mean) / (heavy.mean - light.mean)));
        const between = ratio * (1 - ratio) * (heavy.mean - light.mean) ** 2;
        if (variance > between * MIXED_VARIANCE_RATIO && variance >= heavy.variance) {
            estimate.logOdds = limitOdds(Math.log(ratio / (1 - ratio)));
        } else {
            const ofClass = mean < CLASS_LIMIT ? "light" : "heavy";
            estimate.losses[ofClass] = { mean, variance };
            estimate.logOdds = ofClass === "heavy" ? MAX_LOG_ODDS : -MAX_LOG_ODDS;
        }
        return estimate;
    }

    /** Expected loss of headroom when the neighbor uses all CPU of the worker. */
    get mean(): number {
        const { light, heavy } = this.losses;
        return light.mean + this.heavyRatio * (heavy.mean - light.mean);
    }

    /** Variance of that loss, within the classes and between them. */
    get variance(): number {
        const { light, heavy } = this.losses;
        const ratio = this.heavyRatio;
        const between = ratio * (1 - ratio) * (heavy.mean - light.mean) ** 2;
        return between + ratio * heavy.variance + (1 - ratio) * light.variance;
    }

    /**
     * Updates the estimate from a report.
     * @param residual Expected headroom less the reported one.
     * @param share CPU that the neighbor used, as a share (0 to 1) of the worker's.
     * @param otherVariance Variance of the residual that is not due to this pair.
     */
    update(residual: number, share: number, otherVariance: number): void {
        const expected = this.mean;
        const { light, heavy } = this.losses;
        const outcomes = [light, heavy].map(loss => {
            const variance = otherVariance + loss.variance * share ** 2;
            const error = residual - (loss.mean - expected) * share;
            return { variance, error, logLikelihood: -(Math.log(variance) + error ** 2 / variance) / 2 };
        });
        const evidence = outcomes[1].logLikelihood - outcomes[0].logLikelihood;
        const limited = Math.max(-MAX_REPORT_EVIDENCE, Math.min(MAX_REPORT_EVIDENCE, evidence));
        this.logOdds = limitOdds(this.logOdds + limited);
        const ratio = this.heavyRatio;
        const weights = [1 - ratio, ratio];
        [light, heavy].forEach((loss, index) => {
            const { variance, error } = outcomes[index];
            const gain = (weights[index] * loss.variance * share) / variance;
            const limit = MAX_ERROR_DEVIATIONS * Math.sqrt(variance);
            loss.mean += gain * Math.max(-limit, Math.min(limit, error));
            loss.variance = loss.variance * (1 - gain * share) + DRIFT_VARIANCE;
        });
        light.mean = Math.min(CLASS_LIMIT, Math.max(0, light.mean));
        heavy.mean = Math.max(CLASS_LIMIT, heavy.mean);
    }

    /** Returns in part to the estimate of an unknown pair. @param meanRatio Part (0 to 1) for the means. @param varianceRatio For the variances. */
    age(meanRatio: number, varianceRatio: number): void {
        this.logOdds += (PRIOR_LOG_ODDS - this.logOdds) * meanRatio;
        for (const each of ["light", "heavy"] as const) {
            const loss = this.losses[each];
            loss.mean += (PRIOR_LOSSES[each].mean - loss.mean) * meanRatio;
            loss.variance += (PRIOR_LOSSES[each].variance - loss.variance) * varianceRatio;
        }
    }

    /** Probability that the pair is heavy; at the limit of the odds its class counts as known. */
    private get heavyRatio(): number {
        if (Math.abs(this.logOdds) >= MAX_LOG_ODDS) {
            return this.logOdds > 0 ? 1 : 0;
        }
        return 1 / (1 + Math.exp(-this.logOdds));
    }
}

function limitOdds(logOdds: number): number {
    return Math.max(-MAX_LOG_ODDS, Math.min(MAX_LOG_ODDS, logOdds));
}
