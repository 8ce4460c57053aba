import * as z from "zod/mini";
import { TicketObject } from "../../coordination/common/ticketEntry";
import { TicketDraft } from "./apiMessages";

/** Maximum request deadline that a ticket may set, in ms. */
const MAX_REQUEST_MS = 120_000;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

const name = z.string().check(z.regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/), z.maxLength(64));
const positive = z.number().check(z.positive());
const weight = z.number().check(z.nonnegative(), z.maximum(100));
const removed = z.literal("removed");

const service = z.strictObject({
    cpus: positive,
    memoryGb: positive,
    deadlineMs: z.int().check(z.positive(), z.maximum(MAX_REQUEST_MS)),
    requestClass: z.enum(["idempotent", "non-idempotent"]),
});

const team = z.strictObject({
    guaranteedSlots: z.number().check(z.nonnegative()),
    maxSlots: z.int().check(z.nonnegative()),
});

const batchClass = z.strictObject({
    cpus: positive,
    memoryGb: positive,
    accelerators: z.int().check(z.nonnegative()),
    durationMs: z.int().check(z.positive()),
});

const policy = z.strictObject({ tailLatency: weight, throughput: weight, evictions: weight });

const limits = z.strictObject({
    requestMs: z.int().check(z.positive(), z.maximum(MAX_REQUEST_MS)),
    bodyBytes: z.int().check(z.positive(), z.maximum(MAX_BODY_BYTES)),
    minServiceSlots: z.int().check(z.nonnegative()),
});

const drain = z.strictObject({ reason: z.string() });

/** Schema of a ticket file. Each section lists objects with their complete new state, or `removed`. */
export const ticketSchema = z.strictObject({
    number: z.int().check(z.positive()),
    basedOn: z._default(z.int().check(z.nonnegative()), 0),
    author: z.string().check(z.minLength(1)),
    reason: z.string().check(z.minLength(1)),
    services: z.optional(z.record(name, z.union([service, removed]))),
    teams: z.optional(z.record(name, z.union([team, removed]))),
    classes: z.optional(z.record(name, z.union([batchClass, removed]))),
    policy: z.optional(policy),
    limits: z.optional(limits),
    drains: z.optional(z.record(name, z.union([drain, removed]))),
});

/** Content of a ticket file. */
export type TicketFile = z.infer<typeof ticketSchema>;

/** Sections of a ticket file, and the key prefix of their objects. */
const SECTIONS = [
    ["services", "service"],
    ["teams", "team"],
    ["classes", "class"],
    ["drains", "drain"],
] as const;

/** @param file Content of a ticket file. @returns The ticket as a list of objects. */
export function toTicketDraft(file: TicketFile): TicketDraft {
    const objects: TicketObject[] = SECTIONS.flatMap(([section, prefix]) =>
        Object.entries(file[section] ?? {}).map(([key, state]) => ({
            key: `${prefix}/${key}`,
            value: state === "removed" ? "" : JSON.stringify(state),
        })),
    );
    if (file.policy !== undefined) {
        objects.push({ key: "policy/weights", value: JSON.stringify(file.policy) });
    }
    if (file.limits !== undefined) {
        objects.push({ key: "limits/requests", value: JSON.stringify(file.limits) });
    }
    const { number, basedOn, author, reason } = file;
    return { number, basedOn, author, reason, objects };
}
