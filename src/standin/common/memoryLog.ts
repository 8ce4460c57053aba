import { Err, Ok, Result } from "ts-results";
import { LogError, LogPage, LogService, Offset } from "../../services/common/logService";

/** Maximum number of records per read. */
const MAX_PAGE_RECORDS = 512;

interface Stream {
    first: Offset;
    records: Uint8Array[];
    readonly waitingReaders: Set<() => void>;
}

/** Faults that are injected while they are set. */
export interface LogFaults {
    /** The log refuses all calls. */
    isDown: boolean;
    /** Appends take effect, but their replies are lost. */
    isLosingReplies: boolean;
    /** Maximum number of records that a stream keeps. */
    retention: number;
}

/** In-memory log service with fault injection. */
export class MemoryLog extends LogService {
    private readonly streams = new Map<string, Stream>();
    readonly faults: LogFaults = { isDown: false, isLosingReplies: false, retention: Number.POSITIVE_INFINITY };
    /** Number of appends that took effect. */
    appendCount = 0;
    /** Payload bytes of these appends. */
    appendedBytes = 0;

    private constructor() {
        super();
    }

    /** @returns An empty log with no faults set. */
    static create(): MemoryLog {
        return new MemoryLog();
    }

    /** Names of the streams that have had records. */
    get streamNames(): Iterable<string> {
        return this.streams.keys();
    }

    override append(stream: string, payload: Uint8Array): Promise<Result<Offset, LogError>> {
        return Promise.resolve(this.appendSync(stream, payload));
    }

    override async read(stream: string, from: Offset, waitMs: number): Promise<Result<LogPage, LogError>> {
        const first = this.readSync(stream, from);
        if (!first.ok || first.val.records.length > 0 || waitMs === 0) {
            return first;
        }
        await new Promise<void>(resolve => this.waitForAppend(stream, waitMs, resolve));
        return this.readSync(stream, from);
    }

    /** Appends synchronously. */
    appendSync(name: string, payload: Uint8Array): Result<Offset, LogError> {
        if (this.faults.isDown) {
            return Err({ kind: "refused", message: "the log is down" });
        }
        const stream = this.stream(name);
        stream.records.push(payload);
        this.appendCount += 1;
        this.appendedBytes += payload.length;
        const offset = stream.first + stream.records.length - 1;
        this.truncate(stream);
        [...stream.waitingReaders].forEach(wake => wake());
        return this.faults.isLosingReplies ? Err({ kind: "unknown", message: "the reply was lost" }) : Ok(offset);
    }

    /** Reads synchronously, without waiting for new records. */
    readSync(name: string, from: Offset): Result<LogPage, LogError> {
        if (this.faults.isDown) {
            return Err({ kind: "refused", message: "the log is down" });
        }
        const stream = this.stream(name);
        if (from < stream.first) {
            return Err({ kind: "truncated", first: stream.first });
        }
        const start = from - stream.first;
        const records = stream.records
            .slice(start, start + MAX_PAGE_RECORDS)
            .map((payload, index) => ({ offset: from + index, payload }));
        return Ok({ records, head: stream.first + stream.records.length });
    }

    private stream(name: string): Stream {
        const stream = this.streams.get(name) ?? { first: 0, records: [], waitingReaders: new Set() };
        this.streams.set(name, stream);
        return stream;
    }

    private truncate(stream: Stream): void {
        const excess = stream.records.length - this.faults.retention;
        if (excess > 0) {
            stream.records.splice(0, excess);
            stream.first += excess;
        }
    }

    /** Calls back once: after the next append to a stream, or after a timeout. */
    waitForAppend(name: string, timeoutMs: number, callback: () => void): void {
        const { waitingReaders } = this.stream(name);
        const wake = () => {
            clearTimeout(timer);
            waitingReaders.delete(wake);
            callback();
        };
        const timer = setTimeout(wake, timeoutMs);
        waitingReaders.add(wake);
    }
}
