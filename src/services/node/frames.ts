/** Size of the length prefix of each record. */
const LENGTH_BYTES = 4;

/**
 * Joins records into one body, each with a length prefix.
 * @param records The records.
 * @returns The body.
 */
export function joinFrames(records: readonly Uint8Array[]): Uint8Array {
    const parts = records.flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length);
        return [length, record];
    });
    return Buffer.concat(parts);
}

/**
 * Splits a body into its records.
 * @param body A body made by `joinFrames`.
 * @returns The records.
 * @throws RangeError if the body ends within a record.
 */
export function splitFrames(body: Uint8Array): Uint8Array[] {
    const buffer = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
    const records: Uint8Array[] = [];
    for (let at = 0; at < buffer.length;) {
        const end = at + LENGTH_BYTES + buffer.readUInt32BE(at);
        if (end > buffer.length) {
            throw new RangeError("the body ends within a record");
        }
        records.push(buffer.subarray(at + LENGTH_BYTES, end));
        at = end;
    }
    return records;
}
