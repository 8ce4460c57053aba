import { Epoch } from "../../services/common/worker";

/**
 * How long a grant lasts unless it is renewed, from the moment before its holder asked. It outlasts the change
 * of a shard's owner, so that services go on meanwhile.
 */
export const GRANT_LEASE_MS = 30_000;

/** Time between two requests for grants while the demand is steady. */
export const GRANT_INTERVAL_MS = 5_000;

/** Slots of one worker that one instance may use. Connections go with them in the worker's proportion. */
export interface Grant {
    readonly worker: string;
    readonly slots: number;
}

/** Slots of a worker that an instance may be granted at the most; kept in the log. */
export interface GrantLimit {
    readonly worker: string;
    readonly instance: string;
    readonly slots: number;
}

/** An instance asks a shard's owner for slots. */
export interface GrantAsk {
    readonly kind: "grant-ask";
    readonly shard: string;
    readonly instance: string;
    /** Number of the latest reply of this epoch that the holder has taken in; 0 before the first. */
    readonly serial: number;
    readonly epoch: Epoch;
    /** Slots wanted, by service. */
    readonly demands: readonly ServiceDemand[];
    /** What the holder still uses or may use, as of that reply. */
    readonly held: readonly Grant[];
    /** Latency of services on workers, relative to the best worker. */
    readonly latencies: readonly ServiceLatency[];
}

/** Slots that an instance could use for a service. */
export interface ServiceDemand {
    readonly service: string;
    readonly slots: number;
}

/** How slow a service is on a worker. */
export interface ServiceLatency {
    readonly service: string;
    readonly worker: string;
    /** Time of a request over the time it takes on the best workers. */
    readonly slowdown: number;
}

/** The owner's answer: all grants of the instance in the shard. */
export interface GrantReply {
    readonly kind: "grant-reply";
    readonly shard: string;
    readonly epoch: Epoch;
    readonly serial: number;
    readonly grants: readonly Grant[];
}

/** A new owner asks what an instance holds; the instance then takes grants of lower epochs no more. */
export interface FenceAsk {
    readonly kind: "fence-ask";
    readonly shard: string;
    readonly epoch: Epoch;
    /** The instance that is meant: another one may have its address by now. */
    readonly instance: string;
}

/** What an instance holds, granted by earlier owners. */
export interface FenceReply {
    readonly kind: "fence-reply";
    readonly shard: string;
    readonly epoch: Epoch;
    readonly held: readonly Grant[];
}
