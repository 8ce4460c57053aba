import { Result } from "ts-results";
import { RecordOffset } from "./record";
import { Append, AppendError, NewestPage, ReadError, RecordPage, StreamName } from "./recordStore";

/** Calls to the store. The event with the answer carries the writer, or the number and the time of the read. */
export type RecordEffect =
    | { readonly kind: "append"; readonly writer: string; readonly stream: StreamName; readonly append: Append }
    | {
          readonly kind: "read";
          readonly stream: StreamName;
          /** Number that the answer repeats. */
          readonly number: number;
          readonly from: RecordOffset;
          readonly waitMs: number;
          readonly delayMs: number;
      }
    | {
          readonly kind: "read-newest";
          readonly stream: StreamName;
          readonly number: number;
          readonly after: string | undefined;
          readonly delayMs: number;
      };

/** Reports a record that is not written, since it is larger than the store accepts. */
export interface RecordDropped {
    readonly kind: "record-dropped";
    readonly stream: StreamName;
    readonly key: string;
    readonly bytes: number;
}

/** Effects of a writer. */
export type RecordWriterEffect = RecordEffect | RecordDropped;

/** Answers of the store. */
export type RecordEvent =
    | {
          readonly kind: "append-answer";
          readonly writer: string;
          readonly sequence: number;
          readonly result: Result<RecordOffset, AppendError>;
      }
    | {
          readonly kind: "read-answer";
          readonly stream: StreamName;
          /** Number of the read. */
          readonly number: number;
          /** Time (ms) at which the read was sent. */
          readonly sentAt: number;
          readonly result: Result<RecordPage, ReadError>;
      }
    | {
          readonly kind: "newest-answer";
          readonly stream: StreamName;
          readonly number: number;
          readonly sentAt: number;
          readonly result: Result<NewestPage, ReadError>;
      };
