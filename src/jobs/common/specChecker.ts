import { JobSpec, StepMode } from "./jobSpec";

type Fields = Readonly<Record<string, unknown>>;

const MODES: readonly unknown[] = ["independent", "gang", "speculative", "long-running"] satisfies readonly StepMode[];

/**
 * Checks the fields of a recorded job that decisions are based on. Every instance decodes every job, so they are checked by hand: a schema
 * costs several times as much, most of all while a process starts.
 * @param value A decoded record.
 * @returns Whether it is a job. Further fields may be of later versions.
 */
export function isJobSpec(value: unknown): value is JobSpec {
    return (
        isObject(value) &&
        typeof value.id === "string" &&
        typeof value.payload === "string" &&
        [value.occurrences, value.firstDueMs, value.intervalMs, value.acceptedAtMs].every(Number.isFinite) &&
        isQueue(value.queue) &&
        Array.isArray(value.steps) &&
        value.steps.every(isStep)
    );
}

function isQueue(value: unknown): boolean {
    return (
        isObject(value) &&
        typeof value.name === "string" &&
        typeof value.service === "string" &&
        [value.priority, value.maxAttempts, value.stretch, value.slackMs].every(Number.isFinite)
    );
}

function isStep(value: unknown): boolean {
    return (
        isObject(value) &&
        Number.isSafeInteger(value.tasks) &&
        (value.tasks as number) > 0 &&
        isRequest(value.request) &&
        Number.isFinite(value.estimateMs) &&
        Array.isArray(value.after) &&
        value.after.every(Number.isSafeInteger) &&
        MODES.includes(value.mode)
    );
}

function isRequest(value: unknown): boolean {
    return isObject(value) && [value.cpuMillis, value.memoryMb, value.accelerators].every(Number.isFinite);
}

function isObject(value: unknown): value is Fields {
    return value instanceof Object && !Array.isArray(value);
}
