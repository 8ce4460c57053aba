import { decodeProgress, encodeProgress, JobProgress } from "./jobRecord";

/** Prefix of the keys of parts. A version that does not know them ignores them. */
const PART_PREFIX = "q/";

/** Last field of the head of a divided progress; a version that does not know it does not schedule the job. */
const DIVIDED = "divided";

/** One of several records with the progress of a job. */
export interface ProgressPartKey {
    /** Identifier of the job. */
    readonly id: string;
    /** Number of the part, from 0. */
    readonly number: number;
}

/** @param id Identifier of a job. @param number Number of a part. @returns Key of its record. */
export function partKey(id: string, number: number): string {
    return `${PART_PREFIX}${id}/${number}`;
}

/** @param key Key of a record. @returns The part, or `undefined` if the key is not that of one. */
export function parsePartKey(key: string): ProgressPartKey | undefined {
    const match = /^q\/(.+)\/(\d+)$/.exec(key);
    return match ? { id: match[1], number: Number(match[2]) } : undefined;
}

/** @param progress Progress of a job. @returns Value of the record that stands for it while its parts have the tasks. */
export function encodeHead({ epoch, state, transfers }: JobProgress): string {
    return JSON.stringify([...(JSON.parse(encodeProgress({ epoch, state, transfers })) as unknown[]), DIVIDED]);
}

/** @param value Value of a record. @returns The progress without its tasks, or `undefined` if the value is no head. */
export function decodeHead(value: string): JobProgress | undefined {
    const suffix = `,"${DIVIDED}"]`;
    return value.endsWith(suffix) ? decodeProgress(`${value.slice(0, -suffix.length)}]`) : undefined;
}

/**
 * Joins the progress of a job. The same task may be in the head, from a version that had only one record, and in a part, which is
 * newer. Records of before the latest transfer do not count: the job was in another shard since.
 * @param head Record of the whole job, if there is one. Without it the job is running: the head is stored last.
 * @param parts Its parts; at least one.
 * @returns The progress of the job.
 */
export function joinProgress(head: JobProgress | undefined, parts: readonly JobProgress[]): JobProgress {
    const transfers = Math.max(...[head, ...parts].map(each => each?.transfers ?? 0));
    const isCurrent = (each: JobProgress | undefined) => (each?.transfers ?? 0) === transfers;
    return joinCurrent(isCurrent(head) ? head : undefined, parts.filter(isCurrent), transfers);
}

function joinCurrent(head: JobProgress | undefined, parts: readonly JobProgress[], transfers: number): JobProgress {
    const runs = parts.flatMap(each => each.runs ?? []);
    const tasks = parts.flatMap(each => each.tasks ?? []);
    const inParts = new Set([...runs, ...tasks].map(each => each.task));
    const done: Record<string, string> = { ...head?.done };
    for (const part of parts) {
        for (const [group, digits] of Object.entries(part.done ?? {})) {
            done[group] = joinDigits(done[group] ?? "", digits);
        }
    }
    return {
        epoch: head?.epoch ?? parts[0].epoch,
        transfers,
        state: head?.state ?? "running",
        done,
        runs: [...(head?.runs ?? []).filter(each => !inParts.has(each.task)), ...runs],
        tasks: [...(head?.tasks ?? []).filter(each => !inParts.has(each.task)), ...tasks],
    };
}

function joinDigits(first: string, second: string): string {
    const length = Math.max(first.length, second.length);
    const digits = Array.from({ length }, (_, index) => digitAt(first, index) | digitAt(second, index));
    return digits.map(each => each.toString(16)).join("");
}

function digitAt(digits: string, index: number): number {
    return parseInt(digits[index] ?? "0", 16);
}
