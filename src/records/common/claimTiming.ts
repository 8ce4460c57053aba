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

/** Limit of that growth: leases last longer than the timeout and the delays of a claim together. */
const MAX_CLAIM_SPREAD = 3;

/**
 * Extra claim delay of an instance that leads another shard, where leaders hand over, in ms: longer than the jitter, so that one without an
 * office claims first.
 */
const OTHER_OFFICE_DELAY_MS = 600;

/** Bound of the claim jitter, which differs by instance, so that one claim usually succeeds before the next is made. */
const MAX_CLAIM_JITTER_MS = 250;

/**
 * Extra claim delay of an instance with fewer cores than the latest leader, per multiple of its own cores that it
 * lacks, so that stronger instances claim first. The bound keeps failover short when no strong instance is left.
 */
const CAPACITY_DELAY_STEP_MS = 100;
const MAX_CAPACITY_DELAY_MS = 500;

/** Claim delay by round trip to the store: instances closer to it claim first. */
const ROUND_TRIPS = 8;

/** Extra claim delay of all others while a leader that has resigned or is lost had named its successor. */
const SUCCESSOR_HEAD_START_MS = 300;

/** An instance with this many times the leader's cores replaces it after observing it for the window below. */
const MIN_CHALLENGE_CORES_RATIO = 2;
const CHALLENGE_OBSERVATION_WINDOW_MS = 2_000;

/** How much longer others observe a weak leader that hands over by itself. */
const HANDOVER_WINDOW_MS = 6_000;

/** How long the store takes to answer, and how much longer than that it takes now, in ms. */
export interface StoreDelay {
    readonly roundTripMs: number;
    readonly excessMs: number;
}

/** What decides when an instance claims. */
export interface ClaimCandidate {
    readonly instance: string;
    readonly nonce: number;
    readonly cores: number;
    /** Number of other shards that it leads; left out where leaders do not hand over. */
    readonly otherOffices?: number;
}

/**
 * @param latest Latest record of the leader, if there was one.
 * @param hasEnded Whether its process is known to have ended.
 * @param excessMs How much longer than usual the store takes to answer, in ms.
 * @returns Time without a renewal after which others claim, in ms. A leader that is late is told from one that is gone by what its latest
 * record states.
 */
export function leaderTimeoutMs(latest: LeaderRecord | undefined, hasEnded: boolean, excessMs: number): number {
    if (latest === undefined || latest.resigned === true || hasEnded) {
        return 0;
    }
    const { takingOver, lateMs = 0 } = latest;
    const timeoutMs = takingOver === true ? MAX_LEADER_TIMEOUT_MS : LEADER_TIMEOUT_MS + lateMs * LATE_RATIO;
    const slowStoreMs = Math.min(MAX_SLOW_STORE_WAIT_MS, excessMs * SLOW_STORE_RATIO);
    return Math.min(MAX_LEADER_TIMEOUT_MS, timeoutMs) + slowStoreMs;
}

/**
 * @param candidate The instance.
 * @param latest Latest record of the leader. Before the first leader, the cores of other instances are unknown, so one core is assumed.
 * @param store How long the store takes.
 * @returns Time for which it waits beyond the timeout before it claims, in ms.
 */
export function claimDelayMs(
    candidate: ClaimCandidate,
    latest: LeaderRecord | undefined,
    { roundTripMs, excessMs }: StoreDelay,
): number {
    if (latest?.successor === candidate.instance) {
        return 0;
    }
    const shortfall = (latest?.cores ?? 1) / candidate.cores - 1;
    const capacityMs = Math.max(0, Math.min(MAX_CAPACITY_DELAY_MS, shortfall * CAPACITY_DELAY_STEP_MS));
    const headStartMs = latest?.successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS;
    const officeMs = (candidate.otherOffices ?? 0) > 0 ? OTHER_OFFICE_DELAY_MS : 0;
    const orderMs =
        (jitterMs(candidate) + capacityMs) * Math.min(MAX_CLAIM_SPREAD, 1 + excessMs / CLAIM_SPREAD_STEP_MS);
    return roundTripMs * ROUND_TRIPS + orderMs + officeMs + headStartMs;
}

/** @returns Whether an instance is so much stronger than the leader that it replaces it. */
export function isMuchStronger({ cores }: Pick<ClaimCandidate, "cores">, leaderCores: number): boolean {
    return leaderCores * MIN_CHALLENGE_CORES_RATIO <= cores;
}

/**
 * @param candidate An instance that is much stronger than the leader.
 * @param latest Latest record of the leader.
 * @returns Time for which it observes the leader before it replaces it, in ms. It has the same jitter as claims, so that usually one of several
 * strong instances does.
 */
export function observationMs(candidate: ClaimCandidate, latest: LeaderRecord): number {
    const windowMs = CHALLENGE_OBSERVATION_WINDOW_MS + (latest.handsOver === true ? HANDOVER_WINDOW_MS : 0);
    return windowMs + jitterMs(candidate);
}

function jitterMs({ nonce }: ClaimCandidate): number {
    return nonce % MAX_CLAIM_JITTER_MS;
}
