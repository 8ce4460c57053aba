import { Result } from "ts-results";

/** Position of a record in a stream. */
export type Offset = number;

/** One record of a stream. */
export interface LogRecord {
    readonly offset: Offset;
    readonly payload: Uint8Array;
}

/** Consecutive records, and the offset of the stream's next append. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    readonly head: Offset;
}

/**
 * Why a call to the log failed. `refused`: it had no effect. `unknown`: it may have taken effect. `truncated`: the
 * offset has been removed; `first` is the oldest offset that remains.
 */
export type LogError =
    | { readonly kind: "refused"; readonly message: string }
    | { readonly kind: "unknown"; readonly message: string }
    | { readonly kind: "truncated"; readonly first: Offset };

/** The platform's append-only log service. */
export abstract class LogService {
    /**
     * Appends one record.
     * @param stream Name of the stream.
     * @param payload The record.
     * @returns Its offset, or why the append failed.
     */
    abstract append(stream: string, payload: Uint8Array): Promise<Result<Offset, LogError>>;

    /**
     * Reads records, and waits for the next one if there is none yet.
     * @param stream Name of the stream.
     * @param from Offset of the first record to read.
     * @param waitMs Time to wait for a record, in ms.
     * @returns The records, or why the read failed.
     */
    abstract read(stream: string, from: Offset, waitMs: number): Promise<Result<LogPage, LogError>>;
}
