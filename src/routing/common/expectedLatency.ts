import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Round-trip time to the other region. */
const REGION_ROUND_TRIP_MS = 40;

/** One in this many choices takes the upstream with the oldest response, too rarely to affect the tail latency. */
const EXPLORATION_INTERVAL_CHOICES = 200;

/** Half-life of an upstream's latency above the mean, from its last response on; the cause is assumed to pass. */
const EXCESS_LATENCY_HALF_LIFE_MS = 30_000;

/**
 * Chooses the upstream with the lowest expected latency. The part of an upstream's latency above the mean decays
 * with the age of its last response.
 */
export class ExpectedLatency extends UpstreamChoice {
    private choices = 0;

    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): ExpectedLatency {
        return new ExpectedLatency();
    }

    override choose(options: readonly UpstreamOption[]): UpstreamOption {
        this.choices += 1;
        if (this.choices % EXPLORATION_INTERVAL_CHOICES === 0) {
            return options.reduce((stalest, each) => (each.ageMs > stalest.ageMs ? each : stalest));
        }
        const meanMs = options.reduce((sum, each) => sum + each.latencyMs, 0) / options.length;
        let best = options[0];
        let lowestMs = Number.POSITIVE_INFINITY;
        for (const option of options) {
            const timeMs = expectedMs(option, meanMs);
            if (timeMs < lowestMs) {
                lowestMs = timeMs;
                best = option;
            }
        }
        return best;
    }
}

function expectedMs(option: UpstreamOption, meanMs: number): number {
    const excessMs = Math.max(0, option.latencyMs - meanMs);
    const decayedMs = excessMs === 0 ? 0 : excessMs * 0.5 ** (option.ageMs / EXCESS_LATENCY_HALF_LIFE_MS);
    const roundTripMs = option.isLocal ? 0 : REGION_ROUND_TRIP_MS;
    return (option.latencyMs - excessMs + decayedMs) * (1 + option.busySlots / option.slots) + roundTripMs;
}
