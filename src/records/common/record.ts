/** Offset of a record in a stream. Offsets start at 0 and have no gaps. */
export type RecordOffset = number;

/** A record to write. Without a value, the key is deleted. */
export interface KeyedRecord {
    readonly key: string;
    readonly value?: string;
}

/** A record that was read. */
export interface StoredRecord extends KeyedRecord {
    readonly offset: RecordOffset;
}
