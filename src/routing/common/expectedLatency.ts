import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Time that crossing to the other region and back adds, in ms. */
const REGION_ROUND_TRIP_MS = 40;

/** Share of choices that try an upstream irrespective of what it was like before: one in this many. */
const EXPLORATION_INTERVAL = 16;

/** Takes the upstream with the lowest expected time to answer, and now and then tries another one. */
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
        const local = options.filter(each => each.isLocal);
        if (this.choices % EXPLORATION_INTERVAL === 0 && local.length > 0) {
            return local[Math.floor(this.choices / EXPLORATION_INTERVAL) % local.length];
        }
        return options.reduce((best, each) => (expected(each) < expected(best) ? each : best));
    }
}

function expected(option: UpstreamOption): number {
    const crossing = option.isLocal ? 0 : REGION_ROUND_TRIP_MS;
    return option.latencyMs * (1 + option.busySlots / option.slots) + crossing;
}
