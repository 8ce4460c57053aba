import type { JobTrialPlan } from "./jobTrialPlan";
import { Random } from "./random";

/**
 * What becomes of the leader while the other instances restart. `killed`: it restarts like them. `away`: it is killed, and its host
 * stays away. `frozen`: it is suspended. `cut`: it does not reach the store, but the workers.
 */
export type LeaderFate = "killed" | "away" | "frozen" | "cut";

/** A worker that is lost for good, or that reaches nothing for some time. */
export interface WorkerLoss {
    readonly kind: "gone" | "cut";
    /** Time from the start of the restart, in ms. */
    readonly afterMs: number;
    /** Time for which it is cut off, in ms. */
    readonly cutMs: number;
}

/** A restart of a whole site. */
export interface SiteRestart {
    /** Time at which it starts, in ms. */
    readonly atMs: number;
    /** An outage of the store that begins so long before and lasts so long, in ms; none if undefined. */
    readonly outage: { readonly beforeMs: number; readonly lastsMs: number } | undefined;
    /** Time (ms) after which each instance is killed, by its number. */
    readonly killsAfterMs: readonly number[];
    /** Whether the other instances go on instead, so that only the leader is concerned. */
    readonly isLeaderAlone?: boolean;
    /** Workers, by number, to which the links are slow while the leader is concerned; none if undefined. */
    readonly slowWorkers?: readonly number[];
    /** Time (ms) before the start from which the store loses answers, and goes on to until the leader is concerned no more; never if undefined. */
    readonly answersLostBeforeMs?: number;
    /** Workers, by number, that only the leader reaches while it is concerned, and it reaches no others; all reach all if undefined. */
    readonly leaderSide?: readonly number[];
    readonly leaderFate: LeaderFate;
    /** Time for which the leader is away, frozen or cut off, in ms. */
    readonly leaderMs: number;
    readonly losses: readonly WorkerLoss[];
    /** Time (ms) after which all instances that are up are killed again; they are not if undefined. */
    readonly secondKillAfterMs: number | undefined;
}

const WORKERS = 6;
const JOBS = 4;
const LEASES_MS: readonly number[] = [6_000, 10_000];
const FATES: readonly LeaderFate[] = ["killed", "away", "frozen", "cut"];

/** Bounds of the number of instances. */
const INSTANCES = { min: 3, max: 5 };

/** Bounds of the time at which a restart starts, in ms: all tasks run by then. */
const START_MS = { min: 10_000, max: 12_000 };

/** Probability of an outage of the store, and bounds of when it begins before the restart and of its duration, in ms. */
const OUTAGE_RATIO = 0.6;
const OUTAGE_BEFORE_MS = { min: 0, max: 5_000 };
const OUTAGE_MS = { min: 500, max: 6_000 };

/** Longest time from the start of a restart to the last kill of an instance, and to the last loss of a worker, in ms. */
const MAX_SPREAD_MS = 1_200;

/** Time for which the host of a leader is away, and bounds of the time for which a leader is frozen or cut off, in ms. */
const AWAY_MS = 15_000;
const FATE_MS = { min: 2_000, max: 15_000 };

/** Bounds of the time for which a worker is cut off, in ms. */
const CUT_MS = { min: 1_000, max: 12_000 };

/** Probability that a worker that is lost is cut off instead, and that a second one is lost. */
const CUT_RATIO = 0.4;
const SECOND_LOSS_RATIO = 0.4;

/** Probability of a second kill, and bounds of the time from the start of the restart to it, in ms. */
const SECOND_KILL_RATIO = 0.3;
const SECOND_KILL_MS = { min: 2_000, max: 6_000 };

/** Time (ms) up to which faults may begin, and time for which the trial goes on: a gap and the calm after it have to fit. */
const LENGTH_MS = 18_000;
const RECOVERY_MS = 18_000;

/** @param seed Seed of a trial. @returns The trial of a restart of a whole site that the seed draws. */
export function createSiteRestartPlan(seed: number): JobTrialPlan {
    const plan = createPlan(seed, drawRestart);
    return { ...plan, lasting: { ...plan.lasting!, isReviewed: true } };
}

/** Probability that the leader is frozen instead of cut off, that links are slow, and that the store loses answers. */
const FROZEN_RATIO = 0.2;
const SLOW_RATIO = 0.5;
const LOST_ANSWERS_RATIO = 0.3;

/** Bounds of the duration of an outage of the store around whose end the leader is cut off, in ms. */
const SHORT_OUTAGE_MS = { min: 500, max: 4_000 };

/** Time from the end of the outage, or before it, to the cut of the leader, in ms. */
const AROUND_OUTAGE_MS = 1_000;

/** Largest number of workers that are lost, and longest time from the cut of the leader to that, in ms: it raises its fence by then. */
const MAX_LOSSES = 3;
const MAX_LOSS_AFTER_MS = 5_000;

/**
 * @param seed Seed of a trial.
 * @returns The trial, as the seed draws it, of a leader that is cut off from the store while the others go on. The next leader claims at
 * about the time at which it raises its fence.
 */
export function createLeaderCutPlan(seed: number): JobTrialPlan {
    return createPlan(seed, drawLeaderCut);
}

/**
 * @param seed Seed of a trial.
 * @returns The trial of a leader that is cut off as in `createLeaderCutPlan`, in a network that is split: it reaches some of the workers,
 * and the other instances reach the rest.
 */
export function createLeaderSplitPlan(seed: number): JobTrialPlan {
    const plan = createLeaderCutPlan(seed);
    const random = Random.create(seed);
    const leaderSide = Array.from({ length: random.between(1, WORKERS - 1) }, () => random.between(0, WORKERS - 1));
    return { ...plan, siteRestart: { ...plan.siteRestart!, leaderFate: "cut", leaderSide, losses: [] } };
}

/** @param draw Draws what happens to the site, after the size of the trial and the leases. */
function createPlan(seed: number, draw: (random: Random, instances: number) => SiteRestart): JobTrialPlan {
    const random = Random.create(seed);
    const instances = random.between(INSTANCES.min, INSTANCES.max);
    const longestLeaseMs = random.pick(LEASES_MS);
    return {
        seed,
        lengthMs: LENGTH_MS,
        recoveryMs: RECOVERY_MS,
        instances,
        workers: WORKERS,
        faultEveryMs: 0,
        longestLeaseMs,
        lasting: { count: JOBS, isAlone: true },
        siteRestart: draw(random, instances),
    };
}

function drawLeaderCut(random: Random, instances: number): SiteRestart {
    const within = ({ min, max }: { readonly min: number; readonly max: number }) => random.between(min, max);
    const outageMs = random.chance(OUTAGE_RATIO) ? within(SHORT_OUTAGE_MS) : undefined;
    const beforeMs = Math.max(0, (outageMs ?? 0) + random.between(-AROUND_OUTAGE_MS, AROUND_OUTAGE_MS));
    const slowCount = random.chance(SLOW_RATIO) ? random.between(1, WORKERS) : 0;
    return {
        atMs: within(START_MS),
        outage: outageMs === undefined ? undefined : { beforeMs, lastsMs: outageMs },
        killsAfterMs: Array.from({ length: instances }, () => 0),
        isLeaderAlone: true,
        slowWorkers: Array.from({ length: slowCount }, () => random.between(0, WORKERS - 1)),
        answersLostBeforeMs: random.chance(LOST_ANSWERS_RATIO) ? random.between(0, MAX_SPREAD_MS) : undefined,
        leaderFate: random.chance(FROZEN_RATIO) ? "frozen" : "cut",
        leaderMs: within(FATE_MS),
        losses: Array.from({ length: random.between(1, MAX_LOSSES) }, (): WorkerLoss => {
            const kind = random.chance(CUT_RATIO) ? "gone" : "cut";
            return { kind, afterMs: random.between(0, MAX_LOSS_AFTER_MS), cutMs: within(CUT_MS) };
        }),
        secondKillAfterMs: undefined,
    };
}

function drawRestart(random: Random, instances: number): SiteRestart {
    const within = ({ min, max }: { readonly min: number; readonly max: number }) => random.between(min, max);
    const atMs = within(START_MS);
    const hasOutage = random.chance(OUTAGE_RATIO);
    const outage = hasOutage ? { beforeMs: within(OUTAGE_BEFORE_MS), lastsMs: within(OUTAGE_MS) } : undefined;
    const spreadMs = random.between(0, MAX_SPREAD_MS);
    const killsAfterMs = Array.from({ length: instances }, () => random.between(0, spreadMs));
    const leaderFate = random.pick(FATES);
    const leaderMs = leaderFate === "away" ? AWAY_MS : within(FATE_MS);
    const lossCount = random.chance(SECOND_LOSS_RATIO) ? 2 : 1;
    const losses = Array.from({ length: lossCount }, (): WorkerLoss => {
        const kind = random.chance(CUT_RATIO) ? "cut" : "gone";
        return { kind, afterMs: random.between(0, MAX_SPREAD_MS), cutMs: within(CUT_MS) };
    });
    const secondKillAfterMs = random.chance(SECOND_KILL_RATIO) ? within(SECOND_KILL_MS) : undefined;
    return { atMs, outage, killsAfterMs, leaderFate, leaderMs, losses, secondKillAfterMs };
}
