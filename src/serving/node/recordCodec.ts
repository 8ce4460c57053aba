import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Batch } from "../../services/common/logEvents";
import { toCase, toKind, toPlain } from "../../services/common/kindCase";
import { Record, RecordSchema } from "../../generated/wigeonstall/v1/records_pb";
import { LogEntry } from "../common/logEntry";

/**
 * Encodes a batch as one record of the log.
 * @param batch The batch.
 * @returns The record.
 */
export function encodeBatch(batch: Batch<LogEntry>): Uint8Array {
    const entries = batch.entries.map(({ kind, ...value }) => ({ entry: { case: toCase(kind), value } }));
    const record = create(RecordSchema, { ...batch, entries } as unknown as Record);
    return toBinary(RecordSchema, record);
}

/**
 * Decodes a record of the log.
 * @param payload The record.
 * @returns The batch; entries of kinds that this version does not support are omitted.
 */
export function decodeBatch(payload: Uint8Array): Batch<LogEntry> {
    const { writer, sequence, entries } = fromBinary(RecordSchema, payload);
    const decoded = entries.flatMap(({ entry }) =>
        entry.case === undefined ? [] : [{ kind: toKind(entry.case), ...(toPlain(entry.value) as object) }],
    );
    return { writer, sequence, entries: decoded as unknown as LogEntry[] };
}
