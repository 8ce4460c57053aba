import { JobProgress, jobKey } from "../../../jobs/common/jobRecord";
import { isFinal } from "../../../jobs/common/jobTable";
import { ProgressDivision } from "../../../jobs/common/progressDivision";
import { OccurrenceSet } from "../../../jobs/common/occurrenceSet";
import { parsePartKey, partKey } from "../../../jobs/common/progressPart";
import { KeyedRecord } from "../../../records/common/record";

/** Limit of what is written of one job in one append, in characters: other jobs are not to wait for all of a wide one. */
const MAX_BUILD_LENGTH = 400_000;

/**
 * The records of the progress of one job with many tasks, and which of them are stored. Only those that have changed are written, in
 * as many appends as they need, those first that have been out of date for longest.
 */
export class DividedProgress {
    /** Value of each stored record by key; `undefined` if a former leader has written it. */
    private readonly stored: Map<string, string | undefined>;
    /** Builds since which records are not stored as they should be, by key. */
    private readonly staleSince = new Map<string, number>();
    private buildCount = 0;
    private latest = new Map<string, string | undefined>();
    /** Parts of closed occurrences whose records are stored: they are not encoded and compared again. */
    private settled = OccurrenceSet.create();
    /** Keys in the latest build that will not change any more. */
    private closing = new Set<string>();

    private constructor(
        private readonly id: string,
        private readonly division: ProgressDivision,
        storedKeys: Iterable<string>,
    ) {
        this.stored = new Map([...storedKeys].map(key => [key, undefined]));
    }

    /**
     * @param id Identifier of the job.
     * @param division How its progress is divided.
     * @param storedKeys Keys of the records that former leaders have written.
     * @returns The records.
     */
    static create(id: string, division: ProgressDivision, storedKeys: Iterable<string>): DividedProgress {
        return new DividedProgress(id, division, storedKeys);
    }

    /** Number of the next build. */
    get nextBuild(): number {
        return this.buildCount + 1;
    }

    /** Builds up to which everything is stored. */
    get storedBuilds(): number {
        return Math.min(this.buildCount, ...[...this.staleSince.values()].map(each => each - 1));
    }

    /** Keys of the records that are stored, or may be. */
    get keys(): Iterable<string> {
        const settled = [...this.settled.range(0, Number.POSITIVE_INFINITY)].map(part => partKey(this.id, part));
        return [...this.stored.keys(), ...settled];
    }

    /**
     * Builds an append.
     * @param progress Progress of the job.
     * @returns Records that have changed, at least one. The head of a finished job comes first: its tasks do not count any more.
     * Otherwise it is behind the parts, since it replaces a record in which a version before had all tasks.
     */
    build(progress: JobProgress): KeyedRecord[] {
        this.buildCount += 1;
        if (progress.closed === undefined) {
            this.unsettle();
        }
        const values = this.division.encode(progress, part => this.settled.has(part));
        const keys = new Set([...this.stored.keys(), ...values.keys()]);
        for (const key of keys) {
            const isStored = this.stored.has(key) === values.has(key) && this.stored.get(key) === values.get(key);
            if (isStored) {
                this.staleSince.delete(key);
            } else {
                this.staleSince.set(key, this.staleSince.get(key) ?? this.buildCount);
            }
        }
        const head = jobKey("progress", this.id);
        const rankOf = (key: string) =>
            key !== head ? this.staleSince.get(key)! : isFinal(progress.state) ? 0 : this.staleSince.get(key)! + 0.5;
        const stale = [...this.staleSince.keys()].sort((first, second) => rankOf(first) - rankOf(second));
        this.latest = new Map();
        this.closing = new Set();
        let length = 0;
        for (const key of stale.length > 0 ? stale : [head]) {
            const value = values.get(key);
            length += key.length + (value?.length ?? 0);
            if (this.latest.size > 0 && length > MAX_BUILD_LENGTH) {
                break;
            }
            this.latest.set(key, value);
            if (this.isClosed(key, progress.closed)) {
                this.closing.add(key);
            }
        }
        return [...this.latest].map(([key, value]) => ({ key, value }));
    }

    /** Records that the latest build is stored. */
    confirm(): void {
        for (const [key, value] of this.latest) {
            this.staleSince.delete(key);
            if (value === undefined) {
                this.stored.delete(key);
            } else {
                this.stored.set(key, value);
                this.settle(key);
            }
        }
        this.latest = new Map();
    }

    private settle(key: string): void {
        const part = parsePartKey(key)?.number;
        if (part !== undefined && this.closing.has(key)) {
            this.settled.add(part);
            this.stored.delete(key);
        }
    }

    /** The progress of a finished job has no closed occurrences: the records of its parts are deleted like all others. */
    private unsettle(): void {
        for (const part of this.settled.range(0, Number.POSITIVE_INFINITY)) {
            this.stored.set(partKey(this.id, part), undefined);
        }
        this.settled = OccurrenceSet.create();
    }

    private isClosed(key: string, closed: OccurrenceSet | undefined): boolean {
        const part = parsePartKey(key)?.number;
        return part !== undefined && closed !== undefined && this.division.isClosed(part, closed);
    }
}
