/** Rate of the link between the regions, in bytes per ms: 20 Mbit/s. */
const LINK_BYTES_PER_MS = 2_500;

/** Share of the link that all requests together may use; the rest is for control. */
const REQUEST_SHARE = 0.5;

/** Time over which unused bytes can be saved up. */
const BURST_MS = 200;

/** Bounds what one instance sends to the other region over the narrow paid link. */
export class LinkBudget {
    private saved: number;
    private updatedAt = 0;

    private constructor(private readonly bytesPerMs: number) {
        this.saved = bytesPerMs * BURST_MS;
    }

    /** @param instances Number of instances that share the link. @returns A full budget. */
    static create(instances: number): LinkBudget {
        return new LinkBudget((LINK_BYTES_PER_MS * REQUEST_SHARE) / Math.max(1, instances));
    }

    /** @param bytes Bytes to send. @param now Time in ms. @returns Whether they may be sent; counted if so. */
    spend(bytes: number, now: number): boolean {
        const earned = (now - this.updatedAt) * this.bytesPerMs;
        this.updatedAt = now;
        this.saved = Math.min(this.bytesPerMs * BURST_MS, this.saved + earned);
        if (bytes > this.saved) {
            return false;
        }
        this.saved -= bytes;
        return true;
    }
}
