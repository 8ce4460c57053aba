import { LeaderRecord } from "./leaderRecord";

/** Time without a renewal after which another instance claims leadership. */
const LEADER_TIMEOUT_MS = 1_200;

/**
 * Longest time without a renewal of a leader that takes over or is late. It bounds the time without a leader if that one is
 * lost; leases of workers last longer.
 */
const MAX_LEADER_TIMEOUT_MS = 2_000;

/** How much longer others wait for a leader that is late, as a multiple of its latest delay. */
const LATE_RATIO = 2;

/** Bound of the claim jitter, which differs by instance, so that one claim usually succeeds before the next is made. */
export const MAX_CLAIM_JITTER_MS = 250;

/** Claim delay per ms of the round trip to the store, so that instances close to it claim first. */
const ROUND_TRIP_RATIO = 8;

/**
 * Extra claim delay of an instance with fewer cores than the latest leader, per multiple of its own cores that it
 * lacks, so that stronger instances claim first. The bound keeps failover short when no strong instance is left.
 */
const CAPACITY_DELAY_STEP_MS = 100;
const MAX_CAPACITY_DELAY_MS = 500;

/**
 * How much longer others wait for a leader while the store is slow, as a multiple of how much longer than usual it takes to answer, and at
 * most: renewals of a leader that is alive wait in the store's queue of appends, behind those of all other instances.
 */
const SLOW_STORE_RATIO = 8;
const MAX_SLOW_STORE_WAIT_MS = 2_500;

/**
 * Excess of the store's answers by which the delays that order claims grow once more, in ms. A claim shows to the others only after it is
 * stored, so if the store is slow, claims have to be further apart for one to succeed before the next is made.
 */
const CLAIM_SPREAD_STEP_MS = 100;

/** How long the store takes to answer, and how much longer it takes now, in ms. */
export interface StoreDelay {
    readonly roundTripMs: number;
    readonly excessMs: number;
}

/**
 * @param claimant Its cores, and a number that differs between instances.
 * @param store How long the store takes.
 * @param leaderCores Cores of the latest leader; before the first one they are unknown, so one core is assumed.
 * @returns Time that the claimant waits after the leader has timed out, in ms: instances claim in the order of their suitability.
 */
export function claimDelayMs(
    { cores, nonce }: { readonly cores: number; readonly nonce: number },
    { roundTripMs, excessMs }: StoreDelay,
    leaderCores = 1,
): number {
    const capacityMs = Math.max(0, Math.min(MAX_CAPACITY_DELAY_MS, (leaderCores / cores - 1) * CAPACITY_DELAY_STEP_MS));
    const orderMs = (nonce % MAX_CLAIM_JITTER_MS) + capacityMs;
    return roundTripMs * ROUND_TRIP_RATIO + orderMs * (1 + excessMs / CLAIM_SPREAD_STEP_MS);
}

/**
 * @param record Latest record of the leader. A leader that is late is told from one that is gone by what it states.
 * @param excessMs How much longer than usual the store takes to answer, in ms.
 * @returns Time without a renewal after which another instance claims leadership, in ms.
 */
export function leaderTimeoutMs({ takingOver, lateMs = 0 }: LeaderRecord, excessMs: number): number {
    const timeoutMs = takingOver === true ? MAX_LEADER_TIMEOUT_MS : LEADER_TIMEOUT_MS + lateMs * LATE_RATIO;
    const slowStoreMs = Math.min(MAX_SLOW_STORE_WAIT_MS, excessMs * SLOW_STORE_RATIO);
    return Math.min(MAX_LEADER_TIMEOUT_MS, timeoutMs) + slowStoreMs;
}
