/** An estimated time, and how far it may be off. */
export interface Estimate {
    readonly meanMs: number;
    /** Standard deviation, in ms. */
    readonly deviationMs: number;
}

/** @param ms A time that is known, in ms. @returns The estimate. */
export function exactly(ms: number): Estimate {
    return { meanMs: ms, deviationMs: 0 };
}

/** @returns The estimate of the sum of two independent times. */
export function sumOf(a: Estimate, b: Estimate): Estimate {
    return { meanMs: a.meanMs + b.meanMs, deviationMs: Math.hypot(a.deviationMs, b.deviationMs) };
}

/** @returns The estimate of a multiple of a time. */
export function multipleOf({ meanMs, deviationMs }: Estimate, factor: number): Estimate {
    return { meanMs: meanMs * factor, deviationMs: deviationMs * factor };
}

/** @returns Probability that a time is at most `limitMs`, for a normal distribution. */
export function probabilityWithin({ meanMs, deviationMs }: Estimate, limitMs: number): number {
    return deviationMs === 0 ? Number(meanMs <= limitMs) : cumulative((limitMs - meanMs) / deviationMs);
}

/** @returns Expected value in ms of a time that is known to be at most `limitMs`, for a normal distribution cut off at 0. */
export function meanWithin({ meanMs, deviationMs }: Estimate, limitMs: number): number {
    const score = deviationMs === 0 ? Number.POSITIVE_INFINITY : (limitMs - meanMs) / deviationMs;
    const shiftMs = Number.isFinite(score) ? (deviationMs * density(score)) / Math.max(1e-9, cumulative(score)) : 0;
    return Math.min(limitMs, Math.max(0, meanMs - shiftMs));
}

function density(score: number): number {
    return Math.exp((-score * score) / 2) / Math.sqrt(2 * Math.PI);
}

/** Logistic approximation of the normal distribution; its error is below 0.01. */
function cumulative(score: number): number {
    return 1 / (1 + Math.exp(-1.702 * score));
}
