/** Maximum relative drift between the clocks of two machines that lease durations allow for. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01;

/**
 * Maximum time that a duration on one machine's clock can take on another machine's clock.
 * @param durationMs Duration in ms.
 * @returns Upper bound in ms: the duration plus twice the maximum drift.
 */
export function withDrift(durationMs: number): number {
    return durationMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO);
}
