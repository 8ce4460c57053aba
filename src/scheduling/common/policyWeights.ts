/** Relative weights of a deployment's three objectives. */
export interface PolicyWeights {
    readonly tailLatency: number;
    readonly throughput: number;
    readonly evictions: number;
}

/** In force until a ticket sets other weights. */
export const DEFAULT_WEIGHTS: PolicyWeights = { tailLatency: 1, throughput: 1, evictions: 1 };
