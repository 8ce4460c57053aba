/** Bandwidth of the link between the regions: 20 Mbit/s. */
const LINK_BYTES_PER_MS = 2_500;

/** Share of the link for the requests of all instances together; the rest is for control messages. */
const REQUEST_SHARE_RATIO = 0.5;

/** Time over which unused bandwidth accumulates. */
const BURST_MS = 200;

/** Limits what one instance sends to the other region, since the link is narrow and paid. */
export class LinkBudget {
    private availableBytes: number;
    private updatedAt = 0;

    private constructor(private readonly bytesPerMs: number) {
        this.availableBytes = bytesPerMs * BURST_MS;
    }

    /** @param instances Number of instances that share the link. @returns A full budget. */
    static create(instances: number): LinkBudget {
        return new LinkBudget((LINK_BYTES_PER_MS * REQUEST_SHARE_RATIO) / Math.max(1, instances));
    }

    /** @param bytes Bytes to send. @param now Time in ms. @returns Whether they may be sent; counted if so. */
    trySpend(bytes: number, now: number): boolean {
        const accruedBytes = (now - this.updatedAt) * this.bytesPerMs;
        this.updatedAt = now;
        this.availableBytes = Math.min(this.bytesPerMs * BURST_MS, this.availableBytes + accruedBytes);
        if (bytes > this.availableBytes) {
            return false;
        }
        this.availableBytes -= bytes;
        return true;
    }
}
