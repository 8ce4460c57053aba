import { InterferenceRow } from "./latencyModel";

/** Key of the record that stores the leader's latency model. */
export const LATENCY_MODEL_KEY = "learning";

/** Limit of the record in characters: the store limits its bytes, and the number of pairs has no limit. */
const MAX_LENGTH = 200_000;

/**
 * @param rows Interference of pairs of images.
 * @returns Value of the record. If the pairs do not fit, it has those of the smallest variance.
 */
export function encodeLatencyModel(rows: readonly InterferenceRow[]): string {
    const value = JSON.stringify(rows);
    if (value.length <= MAX_LENGTH) {
        return value;
    }
    const kept: InterferenceRow[] = [];
    let length = 0;
    for (const row of [...rows].sort(([, , , first], [, , , second]) => first - second)) {
        length += JSON.stringify(row).length + 1;
        if (length >= MAX_LENGTH) {
            break;
        }
        kept.push(row);
    }
    return JSON.stringify(kept);
}

/** @param value Value of the record. @returns Interference of pairs of images; none if the value cannot be parsed. */
export function decodeLatencyModel(value: string): InterferenceRow[] {
    try {
        const rows = JSON.parse(value) as unknown;
        return Array.isArray(rows)
            ? (rows as InterferenceRow[]).filter(row => Array.isArray(row) && row.length === 4)
            : [];
    } catch {
        // The model starts empty and is estimated again from reports.
        return [];
    }
}
