import { InterferenceRow } from "./latencyModel";

/** Key of the record that stores the leader's latency model. */
export const LATENCY_MODEL_KEY = "learning";

/** @param rows Interference of pairs of images. @returns Value of the record. */
export function encodeLatencyModel(rows: readonly InterferenceRow[]): string {
    return JSON.stringify(rows);
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
