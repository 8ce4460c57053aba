import { write } from "node:fs";
import { Disposable } from "../../base/common/disposable";
import { Emitter } from "../../base/common/emitter";

const STDOUT_FD = 1;

/** Interval at which buffered lines are written. */
const FLUSH_INTERVAL_MS = 250;

/** Limit of the lines buffered for a slow reader. Lines beyond it are omitted and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Importance of a line. Under load, `detail` lines are omitted first. */
export type LineImportance = "detail" | "essential";

/** Share of the buffer at which `detail` lines are omitted. */
const MAX_DETAIL_BUFFER_RATIO = 0.5;

/** Writes JSON lines to standard output without blocking on a slow reader. */
export class DecisionLog implements Disposable {
    private lines: string[] = [];
    private bufferedBytes = 0;
    private omittedCount = 0;
    private readonly didOmit = Emitter.create<number>();
    private isWriting = false;
    private readonly timer: NodeJS.Timeout;

    private constructor(private readonly instance: string) {
        this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    }

    /** Fires with the number of lines omitted since it last fired. */
    readonly onDidOmit = this.didOmit.event;

    /** @param instance Name of the instance, included in each line. @returns The log. */
    static create(instance: string): DecisionLog {
        return new DecisionLog(instance);
    }

    /**
     * Adds a line.
     * @param event What happened.
     * @param data Further fields of the line.
     * @param importance Importance of the line.
     */
    log(event: string, data: object, importance: LineImportance = "essential"): void {
        const limit = importance === "detail" ? MAX_BUFFERED_BYTES * MAX_DETAIL_BUFFER_RATIO : MAX_BUFFERED_BYTES;
        if (this.bufferedBytes > limit) {
            this.omittedCount += 1;
            return;
        }
        const line = JSON.stringify({ time: new Date().toISOString(), instance: this.instance, event, ...data }) + "\n";
        this.bufferedBytes += line.length;
        this.lines.push(line);
    }

    /** Writes the buffered lines unless a write is in progress. */
    flush(): void {
        if (this.isWriting || this.lines.length === 0) {
            return;
        }
        if (this.omittedCount > 0) {
            const { omittedCount } = this;
            this.omittedCount = 0;
            this.log("lines-omitted", { count: omittedCount });
            this.didOmit.fire(omittedCount);
        }
        const text = Buffer.from(this.lines.join(""));
        this.lines = [];
        this.isWriting = true;
        this.write(text);
    }

    /** Stops the periodic writes and flushes the buffered lines. */
    dispose(): void {
        clearInterval(this.timer);
        this.flush();
    }

    private write(text: Buffer): void {
        write(STDOUT_FD, text, (error, written) => {
            if (!error && written < text.length) {
                this.write(text.subarray(written));
                return;
            }
            // After an error, for example a closed reader, only these lines are lost.
            this.isWriting = false;
            this.bufferedBytes = this.lines.reduce((sum, line) => sum + line.length, 0);
        });
    }
}
