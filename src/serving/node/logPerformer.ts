import { LogService } from "../../services/common/logService";
import { LogEffect, LogEvent, PlacedBatch } from "../../services/common/logEvents";
import { LogEntry } from "../common/logEntry";
import { decodeBatch, encodeBatch } from "./recordCodec";

/** Performs effects on the log service. */
export class LogPerformer {
    private constructor(
        private readonly log: LogService,
        private readonly post: (event: LogEvent<LogEntry>) => void,
    ) {}

    /** @param log The log service. @param post Posts the results to the loop. @returns The performer. */
    static create(log: LogService, post: (event: LogEvent<LogEntry>) => void): LogPerformer {
        return new LogPerformer(log, post);
    }

    /** Performs an effect. */
    perform(effect: LogEffect<LogEntry>): void {
        void (effect.kind === "log-append" ? this.append(effect) : this.read(effect));
    }

    private async append(effect: LogEffect<LogEntry> & { kind: "log-append" }): Promise<void> {
        const { stream, batch } = effect;
        const { writer, sequence } = batch;
        const result = await this.log.append(stream, encodeBatch(batch));
        if (result.ok) {
            this.post({ kind: "log-appended", stream, writer, sequence, offset: result.val });
            return;
        }
        const certainty = result.val.kind === "refused" ? "refused" : "unknown";
        this.post({ kind: "log-append-failed", stream, writer, sequence, certainty });
    }

    private async read(effect: LogEffect<LogEntry> & { kind: "log-read-next" }): Promise<void> {
        const { stream, read, from, waitMs } = effect;
        const result = await this.log.read(stream, from, waitMs);
        if (result.ok) {
            const { records, head } = result.val;
            const batches = records.map(({ offset, payload }): PlacedBatch<LogEntry> => ({
                offset,
                batch: decodeBatch(payload),
            }));
            this.post({ kind: "log-read", stream, read, from, batches, next: from + records.length, head });
        } else if (result.val.kind === "truncated") {
            this.post({ kind: "log-truncated", stream, read, first: result.val.first });
        } else {
            this.post({ kind: "log-read-failed", stream, read });
        }
    }
}
