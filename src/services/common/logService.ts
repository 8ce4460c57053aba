import { Result } from "ts-results";

/** Position of a record in a stream. */
export type Offset = number;

/** One record of a stream. */
export interface LogRecord {
    readonly offset: Offset;
    readonly payload: Uint8Array;
}

/** Consecutive records, and the offset that the stream's next append gets. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    readonly head: Offset;
}

/**
 * Why a call to the log failed. `refused`: certainly without effect. `unknown`: it may have taken effect.
 * `truncated`: the offset has been removed; `first` is the oldest that is left.
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
     * Reads records, waiting for the next one when there is none yet.
     * @param stream Name of the stream.
     * @param from Offset of the first record wanted.
     * @param waitMs How long to wait for a record, in milliseconds.
     * @returns The records, or why the read failed.
     */
    abstract read(stream: string, from: Offset, waitMs: number): Promise<Result<LogPage, LogError>>;
}
