import { HostProfile } from "../../records/common/hostTable";

/** Share of the cores of the strongest candidate from which an instance has enough for a shard. */
const MIN_CORES_RATIO = 0.75;

/** Round trip to the store up to which an instance is near it: a multiple of the shortest one, and a tolerance in ms. */
const NEAR_RATIO = 3;
const NEAR_TOLERANCE_MS = 5;

/** What rules instances out, or speaks against them. */
export interface SuccessorConstraints {
    /** Instance that hands over. */
    readonly leader: string;
    /** Instances that lead another shard, or are named as its successor. */
    readonly engaged: ReadonlySet<string>;
    /** Instances that were named before and did not take over. */
    readonly refused: ReadonlySet<string>;
    /** Cores that a successor needs; any if undefined. */
    readonly minCores?: number;
}

/** An instance that is to take over, and why. */
export interface SuccessorChoice {
    readonly successor: string;
    readonly cores: number;
    readonly storeMs: number | undefined;
    /** Number of instances that might have been chosen. */
    readonly candidates: number;
    /** Number of candidates that started earlier. */
    readonly olderCandidates: number;
    /** Whether it has enough cores, and is near the store. */
    readonly hasEnough: boolean;
    readonly isNear: boolean;
}

/**
 * Load pattern: instances are restarted in turn, also under load, and each of them may lead. A shard that goes to an instance which is restarted
 * next changes its leader twice, so that of those with enough cores near the store goes first which has started last: in a restart in
 * turn it has been restarted already. An instance that leads another shard is not chosen, since one leader of two shards is late.
 * @param profiles All instances that state what they are.
 * @param constraints What rules instances out.
 * @returns The instance that suits best, or `undefined` if none does.
 */
export function chooseSuccessor(
    profiles: readonly HostProfile[],
    { leader, engaged, refused, minCores = 0 }: SuccessorConstraints,
): SuccessorChoice | undefined {
    const candidates = profiles.filter(
        ({ instance, isStopping, cores }) =>
            instance !== leader && !isStopping && !engaged.has(instance) && !refused.has(instance) && cores >= minCores,
    );
    const mostCores = Math.max(...candidates.map(each => each.cores));
    const leastMs = Math.min(...candidates.map(each => each.storeMs ?? Number.POSITIVE_INFINITY));
    const hasEnough = ({ cores }: HostProfile) => cores >= mostCores * MIN_CORES_RATIO;
    const isNear = ({ storeMs }: HostProfile) =>
        storeMs !== undefined && storeMs <= leastMs * NEAR_RATIO + NEAR_TOLERANCE_MS;
    const rank = (each: HostProfile) => (hasEnough(each) ? 2 : 0) + (isNear(each) ? 1 : 0);
    const [best] = [...candidates].sort((a, b) => rank(b) - rank(a) || b.offset - a.offset);
    return best === undefined
        ? undefined
        : {
              successor: best.instance,
              cores: best.cores,
              storeMs: best.storeMs,
              candidates: candidates.length,
              olderCandidates: candidates.filter(each => each.offset < best.offset).length,
              hasEnough: hasEnough(best),
              isNear: isNear(best),
          };
}
