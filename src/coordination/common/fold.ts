import { Batch, PlacedBatch } from "../../services/common/logTraffic";
import { Offset } from "../../services/common/logService";

/** Entries that one record may carry; entry numbers derive from it. */
export const MAX_BATCH_ENTRIES = 256;

/** Offsets after which a silent writer's last sequence number is forgotten. */
const WRITER_RETENTION_OFFSETS = 50_000;

/** Offsets between two sweeps over the writers. */
const WRITER_SWEEP_OFFSETS = 1_000;

/** Where an entry stands in its stream. */
export interface EntryPosition {
    readonly offset: Offset;
    readonly index: number;
    readonly writer: string;
}

interface WriterMark {
    sequence: number;
    offset: Offset;
}

/** State of a fold as a snapshot carries it. */
export interface FoldImage {
    readonly writers: readonly (readonly [string, number, Offset])[];
    readonly state: unknown;
}

/**
 * State derived from a stream by applying its records in order. Every reader of the same records reaches the
 * same state, so an implementation may depend on nothing but the entries and their positions.
 * A batch that a writer appended twice, because the first reply was lost, counts once.
 */
export abstract class Fold<Entry> {
    private readonly writers = new Map<string, WriterMark>();

    /** Semantic version of the image. Readers accept images with the same major number. */
    abstract readonly format: string;

    /**
     * Applies one record.
     * @param placed The record with its offset.
     * @returns Whether the batch counted; a repeated one does not.
     */
    accept(placed: PlacedBatch<Entry>): boolean {
        const { offset, batch } = placed;
        if (!this.isNew(batch, offset)) {
            return false;
        }
        batch.entries.forEach((entry, index) => this.apply(entry, { offset, index, writer: batch.writer }));
        return true;
    }

    /** @returns An image of the whole state, for a snapshot. */
    image(): FoldImage {
        const writers = [...this.writers].map(([writer, mark]) => [writer, mark.sequence, mark.offset] as const);
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

    /** Replaces the state by saved data. */
    protected abstract load(state: unknown): void;

    private isNew(batch: Batch<Entry>, offset: Offset): boolean {
        const mark = this.writers.get(batch.writer);
        if (mark !== undefined && batch.sequence <= mark.sequence) {
            return false;
        }
        this.writers.set(batch.writer, { sequence: batch.sequence, offset });
        if (offset % WRITER_SWEEP_OFFSETS === 0) {
            this.forgetSilentWriters(offset);
        }
        return true;
    }

    private forgetSilentWriters(offset: Offset): void {
        for (const [writer, mark] of this.writers) {
            if (mark.offset < offset - WRITER_RETENTION_OFFSETS) {
                this.writers.delete(writer);
            }
        }
    }
}
