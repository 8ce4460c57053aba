import { UpstreamOption } from "./upstreamOption";

/** Policy that chooses among the upstreams with a free slot. */
export abstract class UpstreamChoice {
    /** @param options Upstreams with a free slot; not empty. @returns The one to use. */
    abstract choose(options: readonly UpstreamOption[]): UpstreamOption;
}
