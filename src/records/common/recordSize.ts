import { KeyedRecord } from "./record";

/** Limit of the bytes of a record, with its key: that of the platform's store. */
export const MAX_RECORD_BYTES = 262_144;

/** Bytes of the length of a key. */
const KEY_LENGTH_BYTES = 1;

/** Most bytes that a character takes. */
const MAX_BYTES_PER_CHARACTER = 3;

const encoder = new TextEncoder();

/** @param record A record. @returns Its size in bytes. */
export function recordBytes({ key, value }: KeyedRecord): number {
    return KEY_LENGTH_BYTES + encoder.encode(key).length + encoder.encode(value ?? "").length;
}

/** @param record A record. @returns Whether the store rejects it for its size. */
export function isTooLarge(record: KeyedRecord): boolean {
    const length = KEY_LENGTH_BYTES + record.key.length + (record.value?.length ?? 0);
    return length * MAX_BYTES_PER_CHARACTER > MAX_RECORD_BYTES && recordBytes(record) > MAX_RECORD_BYTES;
}
