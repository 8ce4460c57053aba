import * as z from "zod/mini";
import { DoneSet } from "./doneSet";
import { JobSpec, JobState, StepSpec } from "./jobSpec";
import { OccurrenceSet } from "./occurrenceSet";
import { isJobSpec } from "./specChecker";

const SPEC_PREFIX = "j/";
const CANCEL_PREFIX = "c/";
const STATE_PREFIX = "s/";
const PROGRESS_PREFIX = "p/";
const TRANSFER_PREFIX = "m/";
const TASK_TRANSFER_PREFIX = "t/";

/** Kind of a record about a job, or about one of its tasks. Progress has a separate stream, which only leaders read. */
export type JobRecordKind = "spec" | "cancellation" | "state" | "progress" | "transfer" | "task-transfer";

const KINDS: Readonly<Record<string, JobRecordKind>> = {
    [SPEC_PREFIX]: "spec",
    [CANCEL_PREFIX]: "cancellation",
    [STATE_PREFIX]: "state",
    [PROGRESS_PREFIX]: "progress",
    [TRANSFER_PREFIX]: "transfer",
    [TASK_TRANSFER_PREFIX]: "task-transfer",
};

const PREFIXES: Readonly<Record<JobRecordKind, string>> = {
    spec: SPEC_PREFIX,
    cancellation: CANCEL_PREFIX,
    state: STATE_PREFIX,
    progress: PROGRESS_PREFIX,
    transfer: TRANSFER_PREFIX,
    "task-transfer": TASK_TRANSFER_PREFIX,
};

/** A run that may be on a worker. It is recorded before its start is sent. */
export interface RunRecord {
    readonly task: string;
    readonly run: number;
    readonly worker: string;
    /** Incarnation of the worker. */
    readonly incarnation: number;
    readonly checkpoint: string;
}

/** Evidence that a task crashes the workers that start it, as it is recorded. */
export type RecordedSuspicion = "suspected" | "accused" | "accused-again";

/** A task that is neither done nor running, or that is suspected of crashing its workers. */
export interface TaskRecord {
    readonly task: string;
    readonly failures: number;
    readonly checkpoint: string;
    readonly lastRun: number;
    readonly suspicion?: RecordedSuspicion;
    /** Number of workers that were lost under it in a row; 0 if undefined. */
    readonly lossesInARow?: number;
}

/** Complete progress of a job, rewritten with each change. Empty lists may be omitted. */
export interface JobProgress {
    /** Epoch of the leader that wrote it. */
    readonly epoch: number;
    readonly state: JobState;
    /** Done tasks of each step of an occurrence, as hexadecimal digits with the lowest task first. */
    readonly done?: Readonly<Record<string, string>>;
    readonly runs?: readonly RunRecord[];
    readonly tasks?: readonly TaskRecord[];
    /** How often the job had been transferred between shards; 0 if undefined. */
    readonly transfers?: number;
    /** Occurrences that are not in `done` although all of their tasks are. Records have them in `done`: see `withClosed`. */
    readonly closed?: OccurrenceSet;
}

/**
 * @param progress Progress of a job.
 * @param steps Steps of the job.
 * @returns The same with its closed occurrences in `done`, as it is recorded.
 */
export function withClosed(progress: JobProgress, steps: readonly StepSpec[]): JobProgress {
    const { closed, ...recorded } = progress;
    if (closed === undefined || closed.size === 0) {
        return recorded;
    }
    const done: Record<string, string> = { ...recorded.done };
    const digits = steps.map(({ tasks }) => DoneSet.packFull(tasks));
    for (const occurrence of closed.range(0, Number.POSITIVE_INFINITY)) {
        digits.forEach((each, step) => (done[`${occurrence}.${step}`] = each));
    }
    return { ...recorded, done };
}

/** @param kind Kind of the record. @param id Identifier of the job, or name of the task. @returns Key of the record. */
export function jobKey(kind: JobRecordKind, id: string): string {
    return PREFIXES[kind] + id;
}

/** @param key Key of a record. @returns Its kind and the job or task, or `undefined` if it is not about a job. */
export function parseJobKey(key: string): { readonly kind: JobRecordKind; readonly id: string } | undefined {
    const kind = KINDS[key.slice(0, SPEC_PREFIX.length)];
    return kind === undefined ? undefined : { kind, id: key.slice(SPEC_PREFIX.length) };
}

/** @param name Name of a task, JOB.OCCURRENCE.STEP.INDEX. @returns Identifier of its job. */
export function jobIdOf(name: string): string {
    return name.slice(0, name.indexOf("."));
}

/** @param spec A job. @returns Value of its record. */
export function encodeSpec(spec: JobSpec): string {
    return JSON.stringify(spec);
}

const STATES: readonly JobState[] = ["queued", "running", "done", "failed", "cancelled"];
const stateSchema = z.enum(STATES);

const runSchema = z.tuple([z.string(), z.int(), z.string(), z.number(), z.string()]);
const suspicionSchema = z.enum(["cleared", "suspected", "accused", "accused-again"]);

/** A task as it is recorded. */
export const taskSchema = z.tuple([
    z.string(),
    z.int(),
    z.string(),
    z.int(),
    z.optional(suspicionSchema),
    z.optional(z.int()),
]);
const progressSchema = z.tuple([
    z.int(),
    stateSchema,
    z.record(z.string(), z.string()),
    z.array(runSchema),
    z.array(taskSchema),
    z.optional(z.int()),
]);

/** @param value Value of a record. @returns The job, or `undefined` if the value is malformed. */
export function decodeSpec(value: string): JobSpec | undefined {
    const spec = parseJson(value);
    return isJobSpec(spec) ? withoutRepeats(spec) : undefined;
}

/** Earlier versions stored as many repeats of a dependency as the caller had stated; each review of a job visits them all. */
function withoutRepeats(spec: JobSpec): JobSpec {
    const { steps } = spec;
    return steps.every(({ after }) => after.length <= steps.length)
        ? spec
        : { ...spec, steps: steps.map(step => ({ ...step, after: [...new Set(step.after)] })) };
}

/** @param value Value of a record. @returns The state, or `undefined` if the value is malformed. */
export function decodeState(value: string): JobState | undefined {
    return STATES.find(state => state === value);
}

/** @param record A task. @returns It as it is recorded: an array in place of an object. */
export function encodeTask({ task, failures, checkpoint, lastRun, suspicion, lossesInARow }: TaskRecord): unknown[] {
    const fields = [task, failures, checkpoint, lastRun];
    if ((lossesInARow ?? 0) > 0) {
        return [...fields, suspicion ?? "cleared", lossesInARow];
    }
    return suspicion === undefined ? fields : [...fields, suspicion];
}

/** @param record A task as it is recorded. @returns The task. */
export function decodeTask(record: z.infer<typeof taskSchema>): TaskRecord {
    const [task, failures, checkpoint, lastRun, suspicion, lossesInARow = 0] = record;
    const recorded = suspicion === "cleared" ? undefined : suspicion;
    return { task, failures, checkpoint, lastRun, suspicion: recorded, lossesInARow };
}

/** @param progress Progress of a job. @returns Value of its record: arrays in place of objects. */
export function encodeProgress(progress: JobProgress): string {
    const runs = (progress.runs ?? []).map(each => [
        each.task,
        each.run,
        each.worker,
        each.incarnation,
        each.checkpoint,
    ]);
    const tasks = (progress.tasks ?? []).map(encodeTask);
    const fields = [progress.epoch, progress.state, progress.done ?? {}, runs, tasks];
    const { transfers = 0 } = progress;
    return JSON.stringify(transfers === 0 ? fields : [...fields, transfers]);
}

/** @param value Value of a record. @returns The progress, or `undefined` if the value is malformed. */
export function decodeProgress(value: string): JobProgress | undefined {
    const parsed = parse(value, progressSchema);
    if (parsed === undefined) {
        return undefined;
    }
    const [epoch, state, done, runs, tasks, transfers] = parsed;
    return {
        epoch,
        state,
        done,
        transfers,
        runs: runs.map(([task, run, worker, incarnation, checkpoint]) => ({
            task,
            run,
            worker,
            incarnation,
            checkpoint,
        })),
        tasks: tasks.map(decodeTask),
    };
}

function parse<T>(value: string, schema: z.ZodMiniType<T>): T | undefined {
    return schema.safeParse(parseJson(value)).data;
}

function parseJson(value: string): unknown {
    try {
        return JSON.parse(value);
    } catch {
        // The caller reports the record as malformed.
        return undefined;
    }
}
