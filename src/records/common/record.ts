/** Position of a record in a stream. Positions count from 0 and have no gaps. */
export type RecordOffset = number;

/** A record to be written. Without a value, the key is deleted. */
export interface KeyedRecord {
    readonly key: string;
    readonly value?: string;
}

/** A record that was read. */
export interface StoredRecord extends KeyedRecord {
    readonly offset: RecordOffset;
}
