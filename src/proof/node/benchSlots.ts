import { SlotSource, UpstreamListing } from "../../routing/common/slotSource";

/** Upstreams of a bench: as many as wanted, each with two slots. */
export class BenchSlots extends SlotSource {
    private constructor(private readonly listed: readonly UpstreamListing[]) {
        super();
    }

    /** @param count Number of upstreams. @returns The upstreams. */
    static create(count: number): BenchSlots {
        const workers = Array.from({ length: count }, (_, index) => index);
        return new BenchSlots(workers.map(index => ({ worker: `w${index}`, address: `a${index}`, region: "north" })));
    }

    override upstreams(): readonly UpstreamListing[] {
        return this.listed;
    }

    override slots(): number {
        return 2;
    }

    override address(): string {
        return "a";
    }
}
