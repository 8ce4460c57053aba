import { Batch, PlacedBatch } from "../../services/common/logEvents";
import { Offset } from "../../services/common/logService";

/** Maximum number of entries in one record. Task numbers are derived from it. */
export const MAX_BATCH_ENTRIES = 256;

/** Number of offsets without a batch of a writer after which its last sequence number is removed. */
const WRITER_RETENTION_OFFSETS = 50_000;

/** Number of offsets between two sweeps over the writers. */
const WRITER_SWEEP_INTERVAL_OFFSETS = 1_000;

/** Position of an entry in its stream. */
export interface EntryPosition {
    readonly offset: Offset;
    readonly index: number;
    readonly writer: string;
}

/** Last batch of a writer. */
interface LastBatch {
    sequence: number;
    offset: Offset;
}

/** State of a fold as stored in a snapshot. */
export interface FoldImage {
    readonly writers: readonly (readonly [string, number, Offset])[];
    readonly state: unknown;
}

/**
 * State derived from a stream by applying its records in order. Every reader of the same records must reach the
 * same state, so an implementation may depend only on the entries and their positions.
 * A batch that a writer appended twice, because the first reply was lost, is applied once.
 */
export abstract class Fold<Entry> {
    private readonly writers = new Map<string, LastBatch>();

    /** Semantic version of the image. Readers accept images with the same major number. */
    abstract readonly format: string;

    /**
     * Applies one record.
     * @param placed The record with its offset.
     * @returns Whether the batch was applied; a repeated one is not.
     */
    applyBatch(placed: PlacedBatch<Entry>): boolean {
        const { offset, batch } = placed;
        if (!this.recordIfNew(batch, offset)) {
            return false;
        }
        batch.entries.forEach((entry, index) => this.apply(entry, { offset, index, writer: batch.writer }));
        return true;
    }

    /** @returns An image of the whole state, for a snapshot. */
    image(): FoldImage {
        const writers = [...this.writers].map(([writer, last]) => [writer, last.sequence, last.offset] as const);
        return { writers, state: this.save() };
    }

    /**
     * Replaces the state.
     * @param image An image made by a fold of the same kind.
     */
    restore(image: FoldImage): void {
        this.writers.clear();
        for (const [writer, sequence, offset] of image.writers) {
            this.writers.set(writer, { sequence, offset });
        }
        this.load(image.state);
    }

    /** Applies one entry to the state. */
    protected abstract apply(entry: Entry, position: EntryPosition): void;

    /** @returns The state as plain data. */
    protected abstract save(): unknown;

    /** Replaces the state with saved data. */
    protected abstract load(state: unknown): void;

    private recordIfNew(batch: Batch<Entry>, offset: Offset): boolean {
        const last = this.writers.get(batch.writer);
        if (last !== undefined && batch.sequence <= last.sequence) {
            return false;
        }
        this.writers.set(batch.writer, { sequence: batch.sequence, offset });
        if (offset % WRITER_SWEEP_INTERVAL_OFFSETS === 0) {
            this.removeInactiveWriters(offset);
        }
        return true;
    }

    private removeInactiveWriters(offset: Offset): void {
        for (const [writer, last] of this.writers) {
            if (last.offset < offset - WRITER_RETENTION_OFFSETS) {
                this.writers.delete(writer);
            }
        }
    }
}
