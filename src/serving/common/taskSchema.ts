import * as z from "zod/mini";
import { TaskRequest } from "../../scheduling/common/taskEntry";

/** Maximum length of an idempotency key, in characters. */
export const MAX_KEY_LENGTH = 128;

/** Maximum length of a task's payload, in characters. */
const MAX_PAYLOAD_LENGTH = 16_384;

/** Maximum duration that a task may declare, in ms: two days. */
const MAX_DURATION_MS = 172_800_000;

const name = z.string().check(z.regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/), z.maxLength(64));

/** Schema of a batch task as submitted; the idempotency key is in a header. */
export const taskSchema = z.strictObject({
    team: name,
    class: name,
    urgency: z._default(z.enum(["urgent", "normal"]), "normal"),
    idempotency: z._default(z.enum(["idempotent", "non-idempotent"]), "idempotent"),
    cpus: z.optional(z.number().check(z.positive())),
    memoryGb: z.optional(z.number().check(z.positive())),
    accelerators: z.optional(z.int().check(z.nonnegative())),
    durationMs: z.optional(z.int().check(z.positive(), z.maximum(MAX_DURATION_MS))),
    dueAt: z.optional(z.iso.datetime({ offset: true })),
    payload: z._default(z.string().check(z.maxLength(MAX_PAYLOAD_LENGTH)), ""),
});

/** Used for fields that neither the submission nor its batch class in force sets. */
const DEFAULT_TASK = { cpus: 1, memoryGb: 1, accelerators: 0, durationMs: 60_000 };

/**
 * Adds the defaults to a submission.
 * @param key The caller's idempotency key.
 * @param draft The submission.
 * @param defaults Fields that the batch class in force sets.
 * @returns The task.
 */
export function toTaskRequest(
    key: string,
    draft: z.infer<typeof taskSchema>,
    defaults: Readonly<Record<string, unknown>> = {},
): TaskRequest {
    const { class: family, dueAt, ...rest } = draft;
    const given = Object.fromEntries(Object.entries(rest).filter(([, value]) => value !== undefined));
    return {
        ...DEFAULT_TASK,
        ...defaults,
        ...(given as typeof rest & typeof DEFAULT_TASK),
        key,
        family,
        dueAt: dueAt === undefined ? 0 : Date.parse(dueAt),
    };
}
