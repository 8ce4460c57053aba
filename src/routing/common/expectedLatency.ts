import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Time that crossing to the other region and back adds, in ms. */
const REGION_ROUND_TRIP_MS = 40;

/** Choices of which one tries the upstream that has not answered for the longest time: fewer than the tail has. */
const EXPLORATION_INTERVAL = 200;

/** Time after which half of what made an upstream slow is taken to be over, in ms. */
const SLOWNESS_HALF_LIFE_MS = 30_000;

/** Takes the upstream with the lowest expected time to answer. What was slow long ago is expected to be as the mean. */
export class ExpectedLatency extends UpstreamChoice {
    private choices = 0;

    private constructor() {
        super();
    }

    /** @returns The choice. */
    static create(): ExpectedLatency {
        return new ExpectedLatency();
    }

    override choose(options: readonly UpstreamOption[]): UpstreamOption {
        this.choices += 1;
        if (this.choices % EXPLORATION_INTERVAL === 0) {
            return options.reduce((stalest, each) => (each.ageMs > stalest.ageMs ? each : stalest));
        }
        const mean = options.reduce((sum, each) => sum + each.latencyMs, 0) / options.length;
        let best = options[0];
        let lowest = Number.POSITIVE_INFINITY;
        for (const option of options) {
            const time = expected(option, mean);
            if (time < lowest) {
                lowest = time;
                best = option;
            }
        }
        return best;
    }
}

function expected(option: UpstreamOption, mean: number): number {
    const excess = Math.max(0, option.latencyMs - mean);
    const kept = excess === 0 ? 0 : excess * 0.5 ** (option.ageMs / SLOWNESS_HALF_LIFE_MS);
    const crossing = option.isLocal ? 0 : REGION_ROUND_TRIP_MS;
    return (option.latencyMs - excess + kept) * (1 + option.busySlots / option.slots) + crossing;
}
