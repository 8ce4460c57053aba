import { Epoch } from "../../services/common/worker";

/**
 * Duration of a grant that is not renewed, counted from just before its holder asked for it. It is longer than a
 * change of a shard's owner takes, so that services keep running meanwhile.
 */
export const GRANT_LEASE_MS = 30_000;

/** Time between two requests for grants while the demand is unchanged. */
export const GRANT_INTERVAL_MS = 5_000;

/** Slots of one worker that one instance may use, with a proportional part of the worker's connections. */
export interface Grant {
    readonly worker: string;
    readonly slots: number;
}

/** Upper bound of the slots of a worker that an instance may be granted; kept in the log. */
export interface GrantLimit {
    readonly worker: string;
    readonly instance: string;
    readonly slots: number;
}

/** Request of an instance to a shard's owner for slots. */
export interface GrantAsk {
    readonly kind: "grant-ask";
    readonly shard: string;
    readonly instance: string;
    /** Number of the latest reply of this epoch that the instance has applied; 0 before the first. */
    readonly serial: number;
    readonly epoch: Epoch;
    /** Slots wanted, by service. */
    readonly demands: readonly ServiceDemand[];
    /** Slots that the instance uses or may use, as of that reply. */
    readonly held: readonly Grant[];
    /** Latency of services on workers, relative to the fastest worker. */
    readonly latencies: readonly ServiceLatency[];
}

/** Slots that an instance could use for a service. */
export interface ServiceDemand {
    readonly service: string;
    readonly slots: number;
}

/** Latency of a service on a worker, relative to the fastest worker. */
export interface ServiceLatency {
    readonly service: string;
    readonly worker: string;
    /** Request latency on this worker divided by the latency on the fastest one. */
    readonly slowdown: number;
}

/** Reply of a shard's owner with all grants of the instance in the shard. */
export interface GrantReply {
    readonly kind: "grant-reply";
    readonly shard: string;
    readonly epoch: Epoch;
    readonly serial: number;
    readonly grants: readonly Grant[];
}

/** Request of a new owner for an instance's grants; from then on the instance rejects grants of lower epochs. */
export interface FenceAsk {
    readonly kind: "fence-ask";
    readonly shard: string;
    readonly epoch: Epoch;
    /** The addressee: another instance may have taken over its address. */
    readonly instance: string;
}

/** Slots that an instance holds from earlier owners. */
export interface FenceReply {
    readonly kind: "fence-reply";
    readonly shard: string;
    readonly epoch: Epoch;
    readonly held: readonly Grant[];
}
