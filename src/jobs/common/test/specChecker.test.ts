import test from "ava";
import { decodeSpec } from "../jobRecord";

const REQUEST = { cpuMillis: 500, memoryMb: 256, accelerators: 0 };
const STEP = { tasks: 2, request: REQUEST, estimateMs: 900.5, after: [0], mode: "gang" };
const QUEUE = { name: "q", service: "s", priority: 0, maxAttempts: 1, stretch: 1.5, slackMs: 0 };
const TIMES = { occurrences: 0, firstDueMs: 0, intervalMs: 0, acceptedAtMs: 1 };
const JOB = { id: "5c0e7a21d94b36f8", queue: QUEUE, payload: "", steps: [STEP], ...TIMES };

/** Values that no field may have. */
const BAD_VALUES = ["undefined", "true", "{}", "[true]", "1e999"];

/** @returns The texts of an object in which one of the fields is missing or has a bad value. */
function damage(object: Readonly<Record<string, unknown>>): string[] {
    return Object.keys(object).flatMap(field => {
        const rest = JSON.stringify({ ...object, [field]: undefined });
        return BAD_VALUES.map(value =>
            value === "undefined" ? rest : `${rest.slice(0, -1)},${JSON.stringify(field)}:${value}}`,
        );
    });
}

/** @param part A part of a job. @param damaged Texts in its place. @returns The texts of the jobs. */
function jobsWith(part: object, damaged: readonly string[]): string[] {
    return damaged.map(text => JSON.stringify(JOB).replace(JSON.stringify(part), text));
}

test("a job with a field that is missing or has a bad value is malformed", t => {
    const jobs = [
        ...damage(JOB),
        ...jobsWith(QUEUE, damage(QUEUE)),
        ...jobsWith(STEP, damage(STEP)),
        ...jobsWith(REQUEST, damage(REQUEST)),
        ...["", "1", "[]", "{}", "null"],
        ...["0", "1.5", "9007199254740992"].map(tasks => JSON.stringify(JOB).replace('"tasks":2', `"tasks":${tasks}`)),
        JSON.stringify(JOB).replace('"after":[0]', '"after":[0.5]'),
        JSON.stringify(JOB).replace("gang", "other"),
    ];
    t.is(new Set(jobs).size, jobs.length);
    jobs.forEach(job => t.is(decodeSpec(job), undefined, job));
});

test("a job keeps fields that are not checked", t => {
    const job = { ...JOB, later: 1, queue: { ...QUEUE, later: [2] }, steps: [{ ...STEP, image: "a", later: {} }] };
    const decoded: unknown = decodeSpec(JSON.stringify(job));
    t.deepEqual(decoded, job);
});
