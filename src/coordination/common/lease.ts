import { withDrift } from "./duration";

/**
 * A lease as its holder sees it. It starts just before the holder asks for it, so that the holder stops relying
 * on it before any observer considers it expired.
 */
export class Lease {
    private constructor(private readonly expiresAt: number) {}

    /** @returns A lease that is not held. */
    static none(): Lease {
        return new Lease(Number.NEGATIVE_INFINITY);
    }

    /**
     * @param askedAt Time (ms, the holder's clock) just before the holder asked.
     * @param durationMs Duration of the lease in ms.
     * @returns The lease.
     */
    static create(askedAt: number, durationMs: number): Lease {
        return new Lease(askedAt + durationMs);
    }

    /** @param now Time in ms on the holder's clock. @returns Whether the holder may still rely on the lease. */
    isHeld(now: number): boolean {
        return now < this.expiresAt;
    }

    /** @returns The time (ms, the holder's clock) at which the lease ends. */
    get endsAt(): number {
        return this.expiresAt;
    }

    /** @returns This lease or the other one, whichever ends later. */
    later(other: Lease): Lease {
        return other.expiresAt > this.expiresAt ? other : this;
    }

    /**
     * Upper bound for the end of another holder's lease.
     * @param seenAt Time (ms, the observer's clock) when the observer read that the lease was granted.
     * @param durationMs Duration of the lease in ms.
     * @returns Time on the observer's clock after which the holder no longer relies on it.
     */
    static observedEnd(seenAt: number, durationMs: number): number {
        return seenAt + withDrift(durationMs);
    }
}
