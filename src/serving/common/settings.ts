import * as z from "zod/mini";

const address = z.string().check(z.regex(/^[^\s:]+:\d{1,5}$/, "not an address"));
const origin = z.string().check(z.regex(/^https?:\/\/[^\s/]+$/, "not an origin"));
const name = z.string().check(z.regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/, "not a name"), z.maxLength(64));

/** Time that a stop waits for requests in flight, in ms. */
const DEFAULT_DRAIN_MS = 600_000;

/** Settings of one instance. */
export const settingsSchema = z.strictObject({
    instance: name,
    region: name,
    failureDomain: name,
    /** Address to listen on, and the one under which others reach the instance. */
    listen: address,
    advertise: z.optional(address),
    platform: z.strictObject({ log: origin, instances: origin }),
    /** Shards by region; every instance must have the same. */
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
    drainMs: z._default(z.int().check(z.nonnegative()), DEFAULT_DRAIN_MS),
});

/** Settings of one instance. */
export type Settings = z.infer<typeof settingsSchema>;
