import { Disposable } from "../../base/common/disposable";
import { Emitter } from "../../base/common/emitter";
import { DescriptorOutput } from "./descriptorOutput";
import { LineOutput } from "./lineOutput";

const STDOUT_FD = 1;

/** Interval at which buffered lines are written. */
const FLUSH_INTERVAL_MS = 250;

/** Limit of the lines buffered for a slow reader. Lines beyond it are omitted and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Limit of a single write, in bytes. A pipe accepts a write of this size (PIPE_BUF) as a whole, while a reader may cut a larger
 * one, and lines of other writers may come in between.
 */
const MAX_WRITE_BYTES = 4_096;

/** Time for which a stop waits for a slow reader, in ms. */
const MAX_DRAIN_MS = 250;

const NEWLINE = "\n";

/** Importance of a line. Under load, `detail` lines are omitted first. */
export type LineImportance = "detail" | "essential";

/** Share of the buffer at which `detail` lines are omitted. */
const MAX_DETAIL_BUFFER_RATIO = 0.5;

/** Writes JSON lines to standard output without blocking on a slow reader. */
export class DecisionLog implements Disposable {
    private lines: string[] = [];
    private bufferedBytes = 0;
    private omittedCount = 0;
    /** Time (ms) at which the oldest line was added that is not written yet. */
    private oldestAt: number | undefined;
    private oldestBufferedAt: number | undefined;
    private readonly didOmit = Emitter.create<number>();
    private isWriting = false;
    private onIdle: () => void = () => undefined;
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly instance: string,
        private readonly output: LineOutput,
    ) {
        this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    }

    /** How long the oldest line that is not written has waited, in ms. */
    get delayMs(): number {
        const oldestAt = this.oldestAt ?? this.oldestBufferedAt;
        return oldestAt === undefined ? 0 : performance.now() - oldestAt;
    }

    /** Fires with the number of lines omitted since it last fired. */
    readonly onDidOmit = this.didOmit.event;

    /**
     * @param instance Name of the instance, included in each line.
     * @param output Receives the lines; standard output by default.
     * @returns The log.
     */
    static create(instance: string, output: LineOutput = DescriptorOutput.create(STDOUT_FD)): DecisionLog {
        return new DecisionLog(instance, output);
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
        const line =
            JSON.stringify({ time: new Date().toISOString(), instance: this.instance, event, ...data }) + NEWLINE;
        this.bufferedBytes += line.length;
        this.oldestBufferedAt ??= performance.now();
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
        this.oldestAt = this.oldestBufferedAt;
        this.oldestBufferedAt = undefined;
        this.isWriting = true;
        this.writeFrom(text, 0);
    }

    /** Writes all lines. @returns Resolves when they have been written, or after a time limit while the reader is slow. */
    drain(): Promise<void> {
        return new Promise(resolve => {
            const timeout = setTimeout(resolve, MAX_DRAIN_MS);
            this.onIdle = () => {
                this.flush();
                if (!this.isWriting) {
                    clearTimeout(timeout);
                    resolve();
                }
            };
            this.onIdle();
        });
    }

    /** Stops the periodic writes and flushes the buffered lines. */
    dispose(): void {
        clearInterval(this.timer);
        this.flush();
    }

    private writeFrom(text: Buffer, start: number): void {
        this.output.write(text.subarray(start, endOfWrite(text, start)), (error, writtenBytes) => {
            const next = start + writtenBytes;
            if (!error && next < text.length) {
                this.writeFrom(text, next);
                return;
            }
            // After an error, for example a closed reader, only these lines are lost.
            this.isWriting = false;
            this.oldestAt = undefined;
            this.bufferedBytes = this.lines.reduce((sum, line) => sum + line.length, 0);
            this.onIdle();
        });
    }
}

/** @returns Where a write of text from `start` ends: after a line, unless that line is longer than a write. */
function endOfWrite(text: Buffer, start: number): number {
    const limit = start + MAX_WRITE_BYTES;
    if (limit >= text.length) {
        return text.length;
    }
    const newline = text.lastIndexOf(NEWLINE, limit - 1);
    return newline < start ? limit : newline + 1;
}
