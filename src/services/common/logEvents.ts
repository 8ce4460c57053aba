import { Offset } from "./logService";

/** Entries that one writer appends together as one record. */
export interface Batch<Entry> {
    /** Incarnation of the process that wrote the batch. */
    readonly writer: string;
    /** Sequence number of the batch among the writer's batches on the stream, from 1; a resent batch keeps it. */
    readonly sequence: number;
    readonly entries: readonly Entry[];
}

/** A batch with its offset. */
export interface PlacedBatch<Entry> {
    readonly offset: Offset;
    readonly batch: Batch<Entry>;
}

/** Result of an append. */
export type AppendResult = Extract<LogEvent<never>, { readonly kind: "log-appended" | "log-append-failed" }>;

/** Events from the log service. */
export type LogEvent<Entry> =
    | {
          readonly kind: "log-appended";
          readonly stream: string;
          readonly writer: string;
          readonly sequence: number;
          readonly offset: Offset;
      }
    | {
          readonly kind: "log-append-failed";
          readonly stream: string;
          readonly writer: string;
          readonly sequence: number;
          readonly certainty: "refused" | "unknown";
      }
    | {
          readonly kind: "log-read";
          readonly stream: string;
          /** Number of the read that this is the result of. */
          readonly read: number;
          readonly from: Offset;
          readonly batches: readonly PlacedBatch<Entry>[];
          readonly next: Offset;
          readonly head: Offset;
      }
    | { readonly kind: "log-read-failed"; readonly stream: string; readonly read: number }
    | { readonly kind: "log-truncated"; readonly stream: string; readonly read: number; readonly first: Offset };

/** Calls to the log service. */
export type LogEffect<Entry> =
    | { readonly kind: "log-append"; readonly stream: string; readonly batch: Batch<Entry> }
    | {
          readonly kind: "log-read-next";
          readonly stream: string;
          readonly read: number;
          readonly from: Offset;
          readonly waitMs: number;
      };
