import * as z from "zod/mini";
import { ingressSettingsSchema, machineSettingsSchema } from "../../ingress/common/ingressLimits";

const address = z.string().check(z.regex(/^[^\s:]+:\d{1,5}$/, "must be HOST:PORT"));
const origin = z.string().check(z.regex(/^https?:\/\/[^\s/]+$/, "must be an http or https origin"));
const name = z
    .string()
    .check(
        z.regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/, "must be a name of letters, digits, '.', '_' and '-'"),
        z.maxLength(64),
    );

/** Time that a shutdown waits for requests in flight, in ms. */
const DEFAULT_DRAIN_TIMEOUT_MS = 600_000;

/** Schema of the settings of one instance. */
export const settingsSchema = z.strictObject({
    instance: name,
    region: name,
    failureDomain: name,
    /** Address to listen on. */
    listen: address,
    /** Address at which other instances reach this one; `listen` if not set. */
    advertise: z.optional(address),
    platform: z.strictObject({ log: origin, instances: origin }),
    /** Number of shards by region; must be the same on every instance. */
    shards: z.record(name, z.int().check(z.positive(), z.maximum(64))),
    keys: z._default(
        z.strictObject({
            peers: z._default(z.string(), ""),
            operators: z._default(z.string(), ""),
        }),
        { peers: "", operators: "" },
    ),
    tls: z.optional(z.strictObject({ certificate: z.string(), key: z.string(), authority: z.string() })),
    log: z._default(
        z.strictObject({
            format: z._default(z.enum(["json", "text"]), "json"),
            level: z._default(z.enum(["error", "warn", "info", "debug"]), "info"),
        }),
        { format: "json", level: "info" },
    ),
    metrics: z.optional(
        z.strictObject({ host: z.string(), port: z.int(), prefix: z._default(z.string(), "wigeonstall.") }),
    ),
    /** What the process may use of its machine, from which the limits on clients are derived. */
    machine: z.optional(machineSettingsSchema),
    /** Limits on clients that replace derived ones. */
    ingress: z.optional(ingressSettingsSchema),
    drainMs: z._default(z.int().check(z.nonnegative()), DEFAULT_DRAIN_TIMEOUT_MS),
});

/** Settings of one instance. */
export type Settings = z.infer<typeof settingsSchema>;
