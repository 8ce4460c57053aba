import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Chooses the upstream with the fewest requests of this instance. */
export class LeastConnections extends UpstreamChoice {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): LeastConnections {
        return new LeastConnections();
    }

    override choose(options: readonly UpstreamOption[]): UpstreamOption {
        return options.reduce((best, each) => (each.busySlots < best.busySlots ? each : best));
    }
}
