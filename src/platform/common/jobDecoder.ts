import * as z from "zod/mini";
import { JobRequest } from "../../jobs/common/jobCall";
import { StepMode, StepSpec } from "../../jobs/common/jobSpec";
import { WireJob, WireStep } from "./wireTypes";

const nonNegativeInteger = z.int().check(z.nonnegative());

/** Limits that reject submissions which are obviously mistaken. */
const MAX_TASKS_PER_STEP = 10_000;
const MAX_STEPS_PER_JOB = 200;
/** Faults of a body that are listed in its answer. */
const MAX_LISTED_FAULTS = 20;
/** Tasks of all occurrences. */
const MAX_TASKS_PER_JOB = 2_000_000;
/** Durations in ms: one year. Sums of larger ones would not be finite. */
const MAX_DURATION_MS = 31_536_000_000;
/** Times in ms since the Unix epoch: the end of the year 9999. */
const MAX_UNIX_MS = 253_402_300_799_999;

const optionalDurationMs = z.optional(z.number().check(z.nonnegative(), z.maximum(MAX_DURATION_MS)));

const stepSchema = z.object({
    count: z.int().check(z.positive(), z.maximum(MAX_TASKS_PER_STEP)),
    cpu: z.optional(nonNegativeInteger),
    memMb: z.optional(nonNegativeInteger),
    gpu: z.optional(nonNegativeInteger),
    estMs: optionalDurationMs,
    after: z.optional(z.array(nonNegativeInteger)),
    checkpoint: z.optional(z.boolean()),
    gang: z.optional(z.boolean()),
    sameRack: z.optional(z.boolean()),
    requires: z.optional(z.string()),
    affinity: z.optional(z.string()),
    maxPerServer: z.optional(nonNegativeInteger),
    speculative: z.optional(z.boolean()),
    longRunning: z.optional(z.boolean()),
    image: z.optional(z.string()),
    latencySloMs: optionalDurationMs,
    fills: z.optional(z.boolean()),
    mayMiss: z.optional(nonNegativeInteger),
});

const jobSchema = z.object({
    spec: z.optional(z.string()),
    steps: z.array(stepSchema).check(z.minLength(1), z.maxLength(MAX_STEPS_PER_JOB)),
    times: z.optional(nonNegativeInteger),
    firstMs: z.optional(z.number().check(z.nonnegative(), z.maximum(MAX_UNIX_MS))),
    intervalMs: optionalDurationMs,
});

/**
 * Decodes the body of a submission.
 * @param body The JSON text.
 * @returns The submission, or `invalid` with the first faults of the body.
 */
export function decodeSubmission(body: string): JobRequest {
    let value: unknown;
    try {
        value = JSON.parse(body);
    } catch {
        return { kind: "invalid", faults: ["the body is not valid JSON"] };
    }
    const parsed = jobSchema.safeParse(value);
    if (!parsed.success) {
        const faults = parsed.error.issues
            .slice(0, MAX_LISTED_FAULTS)
            .map(issue => `${issue.path.map(String).join(".")}: ${issue.message}`);
        return { kind: "invalid", faults };
    }
    const job: WireJob = parsed.data;
    const faults = job.steps.flatMap((step, index) =>
        (step.after ?? [])
            .filter(each => each >= index)
            .map(each => `steps.${index}.after: ${each} is no earlier step`),
    );
    const tasks = job.steps.reduce((sum, { count }) => sum + count, 0) * Math.max(1, job.times ?? 0);
    if (tasks > MAX_TASKS_PER_JOB) {
        faults.push(`times: the job has ${tasks} tasks, more than ${MAX_TASKS_PER_JOB}`);
    }
    if (faults.length > 0) {
        return { kind: "invalid", faults: faults.slice(0, MAX_LISTED_FAULTS) };
    }
    const draft = {
        payload: job.spec ?? "",
        steps: job.steps.map(toStep),
        occurrences: job.times ?? 0,
        firstDueMs: job.firstMs ?? 0,
        intervalMs: job.intervalMs ?? 0,
    };
    return { kind: "submit", draft };
}

function toStep(step: WireStep): StepSpec {
    return {
        tasks: step.count,
        request: { cpuMillis: step.cpu ?? 0, memoryMb: step.memMb ?? 0, accelerators: step.gpu ?? 0 },
        estimateMs: step.estMs ?? 0,
        after: [...new Set(step.after)],
        mode: modeOf(step),
        checkpoints: step.checkpoint ?? false,
        prefersOneRack: step.sameRack ?? false,
        requiredLabel: step.requires || undefined,
        dataRack: step.affinity || undefined,
        maxPerWorker: step.maxPerServer || undefined,
        image: step.image || undefined,
        tailTargetMs: step.latencySloMs || undefined,
        usesSpareCpu: step.fills ?? false,
        maxUnavailable: step.mayMiss,
    };
}

function modeOf(step: WireStep): StepMode {
    if (step.longRunning === true) {
        return "long-running";
    }
    if (step.gang === true) {
        return "gang";
    }
    return step.speculative === true ? "speculative" : "independent";
}
