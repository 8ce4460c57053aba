/** How much a deployment cares for each of the three measures. */
export interface PolicyWeights {
    readonly tailLatency: number;
    readonly throughput: number;
    readonly evictions: number;
}

/** In force until a ticket sets others. */
export const DEFAULT_WEIGHTS: PolicyWeights = { tailLatency: 1, throughput: 1, evictions: 1 };
