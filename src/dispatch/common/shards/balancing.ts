/** Interval between two reviews of what waits, in ms. */
export const REVIEW_INTERVAL_MS = 300;

/** Time after a transfer from which on a load of the other shard that is read includes what was transferred, in ms. */
export const PUBLICATION_DELAY_MS = 800;

/** The same for a single task, in ms: it is given a worker as soon as the other leader has read its transfer. */
export const TASK_PUBLICATION_DELAY_MS = 400;

/** Age of a load up to which it decides on transfers, in ms: after three records that are missing, the other leader may be lost. */
export const MAX_LOAD_AGE_MS = 1_000;

/**
 * Time for which a job or task that was transferred stays at least, in ms; twice as long with each further transfer. A task without a
 * place goes to one at any time.
 */
const MIN_STAY_MS = 2_000;

/** @param transfers How often a job or task has been transferred. @returns That time, in ms. */
export function stayMs(transfers: number): number {
    return transfers === 0 ? 0 : MIN_STAY_MS * 2 ** (transfers - 1);
}
