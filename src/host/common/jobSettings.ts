import * as z from "zod/mini";
import { LEASE_MARGIN_MS, MIN_START_VALIDITY_MS } from "../../dispatch/common/scheduler/dispatchLimits";
import { ingressSettingsSchema, machineSettingsSchema } from "../../ingress/common/ingressLimits";

const address = z.string().check(z.regex(/^[^\s:]+:\d{1,5}$/, "not an address"));
const milliseconds = z.number().check(z.nonnegative());

/** Below this bound, no order to start would be valid for long enough to be sent, in ms. */
const MIN_START_BOUND_MS = MIN_START_VALIDITY_MS + LEASE_MARGIN_MS;
const startBound = z.number().check(z.gt(MIN_START_BOUND_MS));

/** A larger factor would only make a wrong setting hold tasks back for long. */
const MAX_CROSS_RACK_FACTOR = 100;

/** Schema of the settings of one instance. Times are in ms unless the name says otherwise. */
export const jobSettingsSchema = z.strictObject({
    instance: z.string().check(z.minLength(1)),
    region: z.string(),
    failureDomain: z.string(),
    /** Region of each failure domain of the deployment. Empty, the deployment counts as small. */
    failureDomains: z.nullish(z.record(z.string(), z.string())),
    listen: z.strictObject({
        /** Address for callers. */
        calls: address,
        /** Address of the platform's readiness probe. */
        readiness: address,
        /** Address of the metrics in text format. */
        metrics: z.optional(address),
    }),
    /** CPU available to the instance: its share of a processor, and that processor's speed relative to one core. */
    processor: z.strictObject({ share: z.number().check(z.positive()), speed: z.number().check(z.positive()) }).check(
        z.refine(({ share, speed }) => share <= Math.max(1, speed), {
            error: "is more than the processor has",
            path: ["share"],
        }),
    ),
    /** What the process may use of its machine, from which the limits on clients are derived. */
    machine: z.optional(machineSettingsSchema),
    /** Limits on clients that replace derived ones. */
    ingress: z.optional(ingressSettingsSchema),
    /** Address of the platform's store. */
    store: address,
    scheduling: z.strictObject({
        longestLeaseMs: milliseconds,
        stopMs: milliseconds,
        /** Empty in deployments that do not bound it. */
        cancelMs: z.nullish(startBound),
        /** Empty in deployments that do not bound it. */
        drainMs: z.nullish(startBound),
        /** Empty in deployments without evacuations. */
        evacuationMs: z.nullish(startBound),
        gangWaitMs: milliseconds,
        harmMs: milliseconds,
        /** How many times as long a task takes that is not on the rack that it prefers. Empty in deployments that do not state it. */
        crossRackFactor: z.nullish(z.number().check(z.gte(1), z.lte(MAX_CROSS_RACK_FACTOR))),
        configurationMs: startBound,
        retentionS: milliseconds,
        /** Empty in deployments that do not state it. */
        graceS: z.nullish(milliseconds),
    }),
    /** How leaders of a divided fleet hand their shards over; left out in deployments whose leaders only resign. */
    handover: z.optional(
        z.strictObject({
            /** Time from the request to stop a process to its forced end, in seconds. Empty in deployments that do not state it. */
            graceS: z.nullish(z.number().check(z.positive())),
        }),
    ),
});

/** Settings of one instance that serves jobs. */
export type JobSettings = z.infer<typeof jobSettingsSchema>;
