import { KeyedRecord, StoredRecord } from "../../records/common/record";

const LENGTH_BYTES = 4;
const KEY_LENGTH_BYTES = 1;

/** Size of the header of a page: the end of the stream and its first offset. */
export const PAGE_HEADER_BYTES = 16;

/** @param records Records to append. @returns The body: for each record its length, key length, key and value. */
export function packRecords(records: readonly KeyedRecord[]): Buffer {
    const parts: Buffer[] = [];
    for (const { key, value } of records) {
        const keyBytes = Buffer.from(key);
        const valueBytes = Buffer.from(value ?? "");
        const head = Buffer.allocUnsafe(LENGTH_BYTES + KEY_LENGTH_BYTES);
        head.writeUInt32BE(KEY_LENGTH_BYTES + keyBytes.length + valueBytes.length, 0);
        head.writeUInt8(keyBytes.length, LENGTH_BYTES);
        parts.push(head, keyBytes, valueBytes);
    }
    return Buffer.concat(parts);
}

/**
 * Decodes the records of a page.
 * @param body Body of the answer to a read.
 * @param from Offset of its first record.
 * @returns The records, without one that is truncated at the end. A record with a malformed key keeps its offset.
 */
export function unpackRecords(body: Uint8Array, from: number): StoredRecord[] {
    const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
    const records: StoredRecord[] = [];
    let position = PAGE_HEADER_BYTES;
    while (position + LENGTH_BYTES <= bytes.length) {
        const end = position + LENGTH_BYTES + bytes.readUInt32BE(position);
        if (end > bytes.length) {
            break;
        }
        records.push(unpackRecord(bytes.subarray(position + LENGTH_BYTES, end), from + records.length));
        position = end;
    }
    return records;
}

function unpackRecord(bytes: Buffer, offset: number): StoredRecord {
    const keyEnd = KEY_LENGTH_BYTES + (bytes[0] ?? 0);
    if (bytes.length < keyEnd) {
        // The rest of the key may be that of another record, which has not been deleted.
        return { key: "", value: undefined, offset };
    }
    const key = bytes.toString("utf8", KEY_LENGTH_BYTES, keyEnd);
    const value = bytes.length > keyEnd ? bytes.toString("utf8", keyEnd) : undefined;
    return { key, value, offset };
}
