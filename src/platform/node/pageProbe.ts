import { Disposable } from "../../base/common/disposable";

/** Interval between two probes, in ms. The end of an outage is detected within about this time. */
const PROBE_INTERVAL_MS = 900;

/**
 * Detects that the response to a request is lost: it has not begun although the store answers a probe that was sent later. While
 * probes are not answered either, the store is away or the link is full, and to send the request again would not help.
 */
export class PageProbe implements Disposable {
    private timer: NodeJS.Timeout;
    private isDisposed = false;

    private constructor(
        firstAfterMs: number,
        private readonly send: () => Promise<boolean>,
        private readonly onLost: () => void,
    ) {
        this.timer = setTimeout(() => this.probe(), firstAfterMs);
    }

    /**
     * @param firstAfterMs Time until the first probe, in ms.
     * @param send Sends a probe. Resolves to whether it is answered; never rejects.
     * @param onLost Called at most once, when the response is lost.
     * @returns The running probe; disposed of when the response has begun.
     */
    static create(firstAfterMs: number, send: () => Promise<boolean>, onLost: () => void): PageProbe {
        return new PageProbe(firstAfterMs, send, onLost);
    }

    /** Stops to probe. */
    dispose(): void {
        this.isDisposed = true;
        clearTimeout(this.timer);
    }

    private probe(): void {
        this.timer = setTimeout(() => this.probe(), PROBE_INTERVAL_MS);
        void this.send().then(isAnswered => {
            if (isAnswered && !this.isDisposed) {
                this.dispose();
                this.onLost();
            }
        });
    }
}
