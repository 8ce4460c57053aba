import { SlotSource, UpstreamListing } from "../../routing/common/slotSource";

/** Upstreams of a benchmark, each with two slots. */
export class BenchSlots extends SlotSource {
    private constructor(private readonly listings: readonly UpstreamListing[]) {
        super();
    }

    /** @param count Number of upstreams. @returns The upstreams. */
    static create(count: number): BenchSlots {
        const workers = Array.from({ length: count }, (_, index) => index);
        return new BenchSlots(workers.map(index => ({ worker: `w${index}`, address: `a${index}`, region: "north" })));
    }

    override upstreams(): readonly UpstreamListing[] {
        return this.listings;
    }

    override slots(): number {
        return 2;
    }

    override address(): string {
        return "a";
    }
}
