import { OwnershipHost } from "../../coordination/common/shardOwnership";

/** Ownership host of a benchmark; ownership never changes. */
export class BenchHost extends OwnershipHost {
    /** @returns The host. */
    static create(): BenchHost {
        return new BenchHost();
    }

    override claim(): void {}
    override release(): void {}
    override onDidChangeState(): void {}
}
