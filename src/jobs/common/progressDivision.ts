import { DoneSet } from "./doneSet";
import { encodeProgress, jobKey, JobProgress, RunRecord, TaskRecord } from "./jobRecord";
import { JobSpec } from "./jobSpec";
import { OccurrenceSet } from "./occurrenceSet";
import { encodeHead, partKey } from "./progressPart";

/**
 * Number of tasks up to which the progress of a job is one record, and number of the tasks of each part of a larger one: 40 KB, of
 * the 256 KB that a record may have.
 */
const MAX_TASKS_PER_RECORD = 256;

/** Number of the tasks that a digit of `DoneSet.pack` stands for. */
const TASKS_PER_DIGIT = 4;

/** Lists of a part that are filled one by one. */
interface DraftPart {
    readonly done: Record<string, string>;
    readonly runs: RunRecord[];
    readonly tasks: TaskRecord[];
}

/**
 * Divides the progress of a job with many tasks into records of bounded size: a head with its state, and parts of consecutive tasks,
 * over all steps and occurrences. A part without progress has no record.
 */
export class ProgressDivision {
    /** Number of the first task of each step in an occurrence. */
    private readonly firstTasks: readonly number[];
    private readonly tasksPerOccurrence: number;
    /** The group that was looked up last: the tasks of a group follow each other. */
    private latestGroup = { key: "", first: 0 };

    private constructor(private readonly spec: JobSpec) {
        let count = 0;
        this.firstTasks = spec.steps.map(step => (count += step.tasks) - step.tasks);
        this.tasksPerOccurrence = count;
    }

    /** @param spec The job. @returns How its progress is divided. */
    static create(spec: JobSpec): ProgressDivision {
        return new ProgressDivision(spec);
    }

    /** Whether the job has so many tasks that its progress is divided. */
    get isDivided(): boolean {
        return this.tasksPerOccurrence * Math.max(1, this.spec.occurrences) > MAX_TASKS_PER_RECORD;
    }

    /** @param part Number of a part. @param closed Occurrences that are done for good. @returns Whether it has tasks of no others. */
    isClosed(part: number, closed: OccurrenceSet): boolean {
        const { first, last } = this.occurrencesOf(part);
        for (let occurrence = first; occurrence <= last; occurrence++) {
            if (!closed.has(occurrence)) {
                return false;
            }
        }
        return true;
    }

    /**
     * @param progress Progress of the job.
     * @param isSettled Whether the record of a part is stored and does not change any more.
     * @returns Its records by key, the head last, without those of settled parts.
     */
    encode(progress: JobProgress, isSettled: (part: number) => boolean = () => false): Map<string, string> {
        const { id } = this.spec;
        const { epoch, state, transfers } = progress;
        const values = new Map<string, string>();
        for (const [number, part] of this.divide(progress, isSettled)) {
            values.set(partKey(id, number), encodeProgress({ epoch, state: "running", transfers, ...part }));
        }
        return values.set(jobKey("progress", id), encodeHead({ epoch, state, transfers }));
    }

    private divide(progress: JobProgress, isSettled: (part: number) => boolean): Map<number, DraftPart> {
        const parts = new Map<number, DraftPart>();
        const partAt = (number: number) => {
            const part = parts.get(number) ?? { done: {}, runs: [], tasks: [] };
            parts.set(number, part);
            return part;
        };
        const addDone = (number: number, group: string, digits: string) => {
            if (digits !== "") {
                partAt(number).done[group] = digits;
            }
        };
        (progress.runs ?? []).forEach(each => partAt(this.partOf(each.task)).runs.push(each));
        (progress.tasks ?? []).forEach(each => partAt(this.partOf(each.task)).tasks.push(each));
        for (const [group, digits] of Object.entries(progress.done ?? {})) {
            const first = this.firstTaskOf(group);
            let from = 0;
            while (from < digits.length * TASKS_PER_DIGIT) {
                const number = Math.floor((first + from) / MAX_TASKS_PER_RECORD);
                const to = (number + 1) * MAX_TASKS_PER_RECORD - first;
                addDone(number, group, keepDigits(digits, from, to));
                from = to;
            }
        }
        const { closed } = progress;
        const closedTasks = (closed?.end ?? 0) * this.tasksPerOccurrence;
        for (let number = 0; closed !== undefined && number * MAX_TASKS_PER_RECORD < closedTasks; number++) {
            if (!isSettled(number)) {
                this.addClosed(number, closed, addDone);
            }
        }
        return parts;
    }

    /** Adds what a part has of the closed occurrences. */
    private addClosed(
        part: number,
        closed: OccurrenceSet,
        addDone: (part: number, group: string, digits: string) => void,
    ): void {
        const { first, last } = this.occurrencesOf(part);
        const from = part * MAX_TASKS_PER_RECORD;
        for (const occurrence of closed.range(first, last + 1)) {
            this.spec.steps.forEach(({ tasks }, step) => {
                const start = occurrence * this.tasksPerOccurrence + this.firstTasks[step];
                const isInPart = start < from + MAX_TASKS_PER_RECORD && start + tasks > from;
                if (isInPart) {
                    const digits = keepDigits(
                        DoneSet.packFull(tasks),
                        from - start,
                        from + MAX_TASKS_PER_RECORD - start,
                    );
                    addDone(part, `${occurrence}.${step}`, digits);
                }
            });
        }
    }

    private occurrencesOf(part: number): { readonly first: number; readonly last: number } {
        const firstTask = part * MAX_TASKS_PER_RECORD;
        const lastTask = firstTask + MAX_TASKS_PER_RECORD - 1;
        const last = Math.min(Math.floor(lastTask / this.tasksPerOccurrence), Math.max(1, this.spec.occurrences) - 1);
        return { first: Math.floor(firstTask / this.tasksPerOccurrence), last };
    }

    private partOf(task: string): number {
        const indexAt = task.lastIndexOf(".") + 1;
        const index = Number(task.slice(indexAt));
        const group = task.slice(this.spec.id.length + 1, indexAt - 1);
        return Math.floor((this.firstTaskOf(group) + index) / MAX_TASKS_PER_RECORD);
    }

    /** @param group Key of a group, OCCURRENCE.STEP. */
    private firstTaskOf(group: string): number {
        if (group !== this.latestGroup.key) {
            const [occurrence, step] = group.split(".").map(Number);
            this.latestGroup = { key: group, first: occurrence * this.tasksPerOccurrence + this.firstTasks[step] };
        }
        return this.latestGroup.first;
    }
}

/**
 * @param digits Done tasks of a group, as `DoneSet.pack` returns them.
 * @param from First task that is kept.
 * @param to Task after the last one that is kept.
 * @returns The digits, without zeros at the end; empty if no task is left.
 */
function keepDigits(digits: string, from: number, to: number): string {
    let kept = "";
    for (let index = 0; index < digits.length && index * TASKS_PER_DIGIT < to; index++) {
        const low = Math.min(TASKS_PER_DIGIT, Math.max(0, from - index * TASKS_PER_DIGIT));
        const high = Math.min(TASKS_PER_DIGIT, to - index * TASKS_PER_DIGIT);
        const mask = (1 << high) - (1 << low);
        kept += (parseInt(digits[index], 16) & Math.max(0, mask)).toString(16);
    }
    return kept.replace(/0+$/, "");
}
