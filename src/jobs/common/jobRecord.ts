import { JobSpec, JobState } from "./jobSpec";

const SPEC_PREFIX = "j/";
const CANCEL_PREFIX = "c/";
const STATE_PREFIX = "s/";
const PROGRESS_PREFIX = "p/";

/** Kind of a record about a job. Progress has a separate stream, which only leaders read. */
export type JobRecordKind = "spec" | "cancellation" | "state" | "progress";

const KINDS: Readonly<Record<string, JobRecordKind>> = {
    [SPEC_PREFIX]: "spec",
    [CANCEL_PREFIX]: "cancellation",
    [STATE_PREFIX]: "state",
    [PROGRESS_PREFIX]: "progress",
};

const PREFIXES: Readonly<Record<JobRecordKind, string>> = {
    spec: SPEC_PREFIX,
    cancellation: CANCEL_PREFIX,
    state: STATE_PREFIX,
    progress: PROGRESS_PREFIX,
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

/** A task that is neither done nor running. */
export interface TaskRecord {
    readonly task: string;
    readonly failures: number;
    readonly checkpoint: string;
    readonly lastRun: number;
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
}

/** @param kind Kind of the record. @param id Identifier of the job. @returns Key of the record. */
export function jobKey(kind: JobRecordKind, id: string): string {
    return PREFIXES[kind] + id;
}

/** @param key Key of a record. @returns Its kind and job, or `undefined` if it is not about a job. */
export function parseJobKey(key: string): { readonly kind: JobRecordKind; readonly id: string } | undefined {
    const kind = KINDS[key.slice(0, SPEC_PREFIX.length)];
    return kind === undefined ? undefined : { kind, id: key.slice(SPEC_PREFIX.length) };
}

/** @param spec A job. @returns Value of its record. */
export function encodeSpec(spec: JobSpec): string {
    return JSON.stringify(spec);
}

/** @param value Value of a record made by the matching encoder. @returns The job. */
export function decodeSpec(value: string): JobSpec {
    return JSON.parse(value) as JobSpec;
}

type PackedProgress = [number, JobState, Record<string, string>, unknown[][], unknown[][]];

/** @param progress Progress of a job. @returns Value of its record: arrays in place of objects. */
export function encodeProgress(progress: JobProgress): string {
    const runs = (progress.runs ?? []).map(each => [
        each.task,
        each.run,
        each.worker,
        each.incarnation,
        each.checkpoint,
    ]);
    const tasks = (progress.tasks ?? []).map(each => [each.task, each.failures, each.checkpoint, each.lastRun]);
    return JSON.stringify([progress.epoch, progress.state, progress.done ?? {}, runs, tasks]);
}

/** @param value Value of a record made by the matching encoder. @returns The progress. */
export function decodeProgress(value: string): JobProgress {
    const [epoch, state, done, runs, tasks] = JSON.parse(value) as PackedProgress;
    return {
        epoch,
        state,
        done,
        runs: runs.map(row => {
            const [task, run, worker, incarnation, checkpoint] = row as [string, number, string, number, string];
            return { task, run, worker, incarnation, checkpoint };
        }),
        tasks: tasks.map(row => {
            const [task, failures, checkpoint, lastRun] = row as [string, number, string, number];
            return { task, failures, checkpoint, lastRun };
        }),
    };
}
