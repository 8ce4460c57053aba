import { PairRow } from "./latencyModel";

/** Key of the record that keeps what the leader learnt. */
export const LEARNING_KEY = "learning";

/** @param rows Pressures of pairs of images. @returns Value of the record. */
export function encodeLearning(rows: readonly PairRow[]): string {
    return JSON.stringify(rows);
}

/** @param value Value of the record. @returns The pressures; none if the value cannot be read. */
export function decodeLearning(value: string): PairRow[] {
    try {
        const rows = JSON.parse(value) as unknown;
        return Array.isArray(rows) ? (rows as PairRow[]).filter(row => Array.isArray(row) && row.length === 4) : [];
    } catch {
        // Without it, the leader learns anew.
        return [];
    }
}
