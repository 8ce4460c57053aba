/** Largest relative error between the clocks of two machines that lease arithmetic allows for. */
export const CLOCK_DRIFT = 0.01;

/**
 * Longest time, on any other machine's clock, that a duration on one machine's clock can take.
 * @param durationMs Duration in ms.
 * @returns The bound in ms.
 */
export function withDrift(durationMs: number): number {
    return durationMs * (1 + 2 * CLOCK_DRIFT);
}
