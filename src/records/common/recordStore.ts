import { Result } from "ts-results";
import { KeyedRecord, RecordOffset, StoredRecord } from "./record";

/** Stream of the progress of the jobs of a shard; that of the first one has no number. */
export type ProgressStream = "progress" | `progress-${number}`;

/** Streams that an instance follows. */
export type StreamName = "jobs" | "operator" | "workers" | ProgressStream;

/** Identity of an appender, by which the store recognises retries and rejects superseded writers. */
export interface Producer {
    readonly name: string;
    /** The store rejects a producer whose epoch is lower than one that it has seen. */
    readonly epoch: number;
}

/** One append of a producer. A retry with the same sequence number is stored once. */
export interface Append {
    readonly producer: Producer;
    readonly sequence: number;
    readonly records: readonly KeyedRecord[];
    /** If given, the records are stored only if the stream ends at this offset. */
    readonly expectedEnd?: RecordOffset;
}

/** Why an append was not confirmed. After `unknown` it may have been stored, or may still be. */
export type AppendError = "not-done" | "unknown" | "fenced" | "conflict" | "out-of-sequence";

/** How a page travelled. */
export interface PageTransfer {
    /** Size of the body of the response, in bytes. */
    readonly bytes: number;
    /** Time from the beginning of the response to its end, in ms. */
    readonly durationMs: number;
}

/** Consecutive records of a stream. `end` is the offset after the last record of the stream. */
export interface RecordPage {
    readonly records: readonly StoredRecord[];
    readonly end: RecordOffset;
    /** Left out if it was not measured. */
    readonly transfer?: PageTransfer;
}

/** A page of the newest records by key, in key order. `end` is the offset after the last record of the stream. */
export interface NewestPage {
    readonly records: readonly StoredRecord[];
    readonly end: RecordOffset;
    readonly hasMore: boolean;
    /** Left out if it was not measured. */
    readonly transfer?: PageTransfer;
}

/** Key after all keys of a stream: a page that begins after it has the end of the stream and no records. */
export const KEY_AFTER_ALL = "~";

/** Why a read failed. `truncated` means that the records have expired. */
export type ReadError = "truncated" | "unavailable";

/** Keyed streams that hold all durable state. */
export abstract class RecordStore {
    /** @param stream The stream. @param append What to append. @returns Offset of the first record. */
    abstract append(stream: StreamName, append: Append): Promise<Result<RecordOffset, AppendError>>;

    /**
     * @param stream The stream.
     * @param from Offset of the first record to read.
     * @param waitMs How long to wait if there is no record yet, in ms.
     * @returns The records from that offset on; none if the wait timed out.
     */
    abstract read(stream: StreamName, from: RecordOffset, waitMs: number): Promise<Result<RecordPage, ReadError>>;

    /**
     * @param stream The stream.
     * @param after Key after which to continue; `KEY_AFTER_ALL` to read only the end of the stream.
     * @returns Newest records in key order.
     */
    abstract readNewest(stream: StreamName, after: string | undefined): Promise<Result<NewestPage, ReadError>>;
}
