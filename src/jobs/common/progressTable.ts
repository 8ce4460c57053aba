import { StoredRecord } from "../../records/common/record";
import { decodeProgress, jobKey, JobProgress, parseJobKey } from "./jobRecord";
import { isFinal, JobEntry } from "./jobTable";
import { decodeHead, joinProgress, parsePartKey, partKey } from "./progressPart";

/** Progress of all jobs as recorded by earlier leaders. A new leader reads it during takeover. */
export class ProgressTable {
    private readonly entries = new Map<string, JobProgress>();
    /** Parts of the progress of jobs with many tasks, by job and number. */
    private readonly parts = new Map<string, Map<number, JobProgress>>();
    private readonly malformed = new Set<string>();

    private constructor() {}

    /** @returns A table without progress. */
    static create(): ProgressTable {
        return new ProgressTable();
    }

    /** Identifiers of the jobs with recorded progress. */
    get ids(): Iterable<string> {
        return new Set([...this.entries.keys(), ...this.parts.keys()]);
    }

    /** Whether no leader has recorded progress of a job. */
    get isEmpty(): boolean {
        return this.entries.size === 0 && this.parts.size === 0 && this.malformed.size === 0;
    }

    /** @param id Identifier of a job. @returns Its progress, or `undefined` if none was recorded. */
    find(id: string): JobProgress | undefined {
        const head = this.entries.get(id);
        const parts = this.parts.get(id);
        return parts === undefined ? head : joinProgress(head, [...parts.values()]);
    }

    /**
     * @param entry A job.
     * @param isGuest Whether another shard has it: what was recorded before its transfer is not that of single tasks.
     * @returns Its progress: that of its latest transfer, unless a leader has recorded some since then.
     */
    latestOf({ id, transfer, isCancelled, state }: JobEntry, isGuest: boolean): JobProgress | undefined {
        const recorded = this.find(id);
        if (transfer !== undefined && (recorded?.transfers ?? 0) < transfer.count) {
            return isGuest ? undefined : transfer.progress;
        }
        // A guest ends after its job: otherwise that is the end of a former job with this id.
        const isOfFormer = isGuest && recorded !== undefined && isFinal(recorded.state);
        return isOfFormer && !isCancelled && !isFinal(state) ? undefined : recorded;
    }

    /** @param id Identifier of a job. @returns Keys of the records with its progress. */
    keysOf(id: string): string[] {
        const head = this.entries.has(id) ? [jobKey("progress", id)] : [];
        return [...head, ...[...(this.parts.get(id)?.keys() ?? [])].map(number => partKey(id, number))];
    }

    /** @param id Identifier of a job. @returns Whether its progress is malformed, so that its runs are not known. */
    isMalformed(id: string): boolean {
        return this.malformed.has(id);
    }

    /** Applies the newest record of a key. */
    apply(record: StoredRecord): void {
        const { value } = record;
        const key = parseJobKey(record.key);
        const part = parsePartKey(record.key);
        if (value === undefined) {
            return;
        }
        if (key?.kind === "progress") {
            this.add(key.id, decodeProgress(value) ?? decodeHead(value), progress =>
                this.entries.set(key.id, progress),
            );
        } else if (part !== undefined) {
            this.add(part.id, decodeProgress(value), progress => {
                const parts = this.parts.get(part.id) ?? new Map<number, JobProgress>();
                this.parts.set(part.id, parts.set(part.number, progress));
            });
        }
    }

    private add(id: string, progress: JobProgress | undefined, keep: (progress: JobProgress) => void): void {
        if (progress === undefined) {
            this.malformed.add(id);
        } else {
            keep(progress);
        }
    }
}
