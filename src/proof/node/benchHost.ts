import { OwnershipHost } from "../../coordination/common/shardOwnership";

/** Host of an ownership that nobody contests. */
export class BenchHost extends OwnershipHost {
    /** @returns The host. */
    static create(): BenchHost {
        return new BenchHost();
    }

    override claim(): void {}
    override release(): void {}
    override changed(): void {}
}
