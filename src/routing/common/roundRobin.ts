import { UpstreamChoice } from "./upstreamChoice";
import { UpstreamOption } from "./upstreamOption";

/** Chooses the upstreams in turn. */
export class RoundRobin extends UpstreamChoice {
    private turn = 0;

    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): RoundRobin {
        return new RoundRobin();
    }

    override choose(options: readonly UpstreamOption[]): UpstreamOption {
        this.turn += 1;
        return options[this.turn % options.length];
    }
}
