import { ActiveJob, TaskGroup } from "../jobs/activeJob";

/** What the index records of an entry; it is set by the index. */
export interface IndexedEntry {
    /** Number of the latest pass in which the entry waited. */
    pass: number;
    /** Position among the entries of that pass as they were collected. */
    position: number;
}

/** What was collected of a job. */
export interface CollectedJob<Entry> {
    /** Its groups that are ready and not finished. */
    readonly groups: readonly TaskGroup[];
    readonly entries: readonly Entry[];
    /** Whether the same would be collected until the job changes. */
    readonly isLasting: boolean;
}

interface KnownJob<Entry> extends CollectedJob<Entry> {
    readonly job: ActiveJob;
    /** Version of the job with which the entries were collected. */
    readonly version: number;
}

/**
 * Keeps the entries of waiting jobs, and their order, from one pass to the next.
 *
 * Load pattern: thousands of tasks wait while a few runs end between two passes. The entries of a job depend on
 * nothing but the job, unless a run is throttled, so they are collected again only after it has changed. Few jobs change their place in the order
 * between two passes, so the order of the last pass is nearly that of the next one.
 *
 * Jobs come in the same order in each pass, new ones at the end, so those of the last pass are found without a look-up.
 */
export class WaitingIndex<Entry extends IndexedEntry> {
    /** The jobs of the last pass, in their order, and those of this pass so far. */
    private known: readonly KnownJob<Entry>[] = [];
    private current: KnownJob<Entry>[] = [];
    /** Position in `known` after the latest job that was found there. */
    private cursor = 0;
    private sorted: readonly Entry[] = [];
    private added: Entry[] = [];
    private pass = 0;
    private nextPosition = 0;
    private settings: number | undefined;

    private constructor() {}

    /** @returns An index without entries. */
    static create<E extends IndexedEntry>(): WaitingIndex<E> {
        return new WaitingIndex<E>();
    }

    /**
     * Begins a pass.
     * @param settings Version of the settings on which entries depend; a new one makes all entries be collected again.
     */
    begin(settings: number | undefined): void {
        this.pass += 1;
        this.nextPosition = 0;
        this.added = [];
        this.known = settings === this.settings ? this.current : [];
        this.settings = settings;
        this.current = [];
        this.cursor = 0;
    }

    /**
     * Keeps the entries of a job, unless it has changed. Each job of a pass is kept or added.
     * @param job The job.
     * @returns What was kept; without it, the entries are to be collected and added.
     */
    keep(job: ActiveJob): CollectedJob<Entry> | undefined {
        const known = this.find(job);
        if (known === undefined || known.version !== job.version || !known.isLasting) {
            return undefined;
        }
        this.current.push(known);
        for (const entry of known.entries) {
            this.record(entry);
        }
        return known;
    }

    /** Adds the entries of a job in this pass. */
    add(job: ActiveJob, collected: CollectedJob<Entry>): void {
        for (const entry of collected.entries) {
            this.record(entry);
            this.added.push(entry);
        }
        this.current.push({ job, version: job.version, ...collected });
    }

    /**
     * @param compare Order of the entries. Equal ones are in the order in which they were kept or added.
     * @returns The entries of this pass in their order.
     */
    sort(compare: (a: Entry, b: Entry) => number): readonly Entry[] {
        const kept = this.sorted.filter(entry => entry.pass === this.pass);
        this.sorted = kept.concat(this.added).sort((a, b) => compare(a, b) || a.position - b.position);
        return this.sorted;
    }

    /** @returns What is known of a job. Without it, the jobs come in another order, and all that follow are collected again. */
    private find(job: ActiveJob): KnownJob<Entry> | undefined {
        const { known } = this;
        while (this.cursor < known.length) {
            const each = known[this.cursor];
            this.cursor += 1;
            if (each.job === job) {
                return each;
            }
        }
        return undefined;
    }

    private record(entry: Entry): void {
        entry.pass = this.pass;
        entry.position = this.nextPosition;
        this.nextPosition += 1;
    }
}
