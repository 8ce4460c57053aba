import * as z from "zod/mini";

const BYTES_PER_MB = 1_048_576;

/** Machine that is assumed where the settings say nothing: the smallest that deployments have had. */
const DEFAULT_MEMORY_MB = 160;
const DEFAULT_DESCRIPTORS = 4_096;

/**
 * Memory that a connection may take without further checks: what the runtime keeps for it, one read of the socket, and a small
 * request with its answer.
 */
const CONNECTION_BYTES = 98_304;

/** Shares of the machine's memory for connections, for large bodies and for jobs, and of its descriptors for connections. */
const CONNECTION_MEMORY_RATIO = 1 / 6;
const BODY_MEMORY_RATIO = 1 / 16;
const JOB_MEMORY_RATIO = 1 / 4;
const CONNECTION_DESCRIPTOR_RATIO = 1 / 2;

/** Share of the connections that probes and the reader of metrics may have in addition, each on its own port. */
const PROBE_CONNECTION_RATIO = 1 / 32;
const MIN_PROBE_CONNECTIONS = 4;

const DEFAULT_REQUESTS_PER_CONNECTION = 4;
const DEFAULT_STALL_MS = 20_000;
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_MIN_BYTES_PER_S = 1_024;
const DEFAULT_WAIT_MS = 2_500;
const DEFAULT_MAX_VALUES = 32_768;
const DEFAULT_MAX_NESTING = 32;

const positiveInteger = z.int().check(z.positive());
const positiveNumber = z.number().check(z.positive());

/** Schema of the machine's limits in the settings; the platform may leave them empty. */
export const machineSettingsSchema = z.strictObject({
    memoryMb: z.nullish(positiveNumber),
    descriptors: z.nullish(positiveInteger),
});

/** Schema of the limits that replace those derived from the machine. */
export const ingressSettingsSchema = z.strictObject({
    connections: z.optional(positiveInteger),
    probeConnections: z.optional(positiveInteger),
    bodyMb: z.optional(positiveNumber),
    jobMb: z.optional(positiveNumber),
    requestsPerConnection: z.optional(positiveInteger),
    stallMs: z.optional(positiveNumber),
    idleMs: z.optional(positiveNumber),
    minBytesPerS: z.optional(positiveNumber),
    waitMs: z.optional(positiveNumber),
    maxValues: z.optional(positiveInteger),
    maxNesting: z.optional(positiveInteger),
});

/** Limits of the machine, as the settings state them. */
export type MachineSettings = z.infer<typeof machineSettingsSchema>;

/** Limits on clients, as the settings state them. */
export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** Limits on what clients may take of a process. */
export interface IngressLimits {
    /** Connections of callers. */
    readonly connections: number;
    /** Connections of each port for operators. */
    readonly probeConnections: number;
    /** Memory of all large bodies that are being received. */
    readonly bodyBytes: number;
    /** Memory of jobs that were accepted and are not forgotten. */
    readonly jobBytes: number;
    /** Requests of a connection that have been read and not answered. */
    readonly requestsPerConnection: number;
    /** Time for which a client may lag behind the minimal pace. */
    readonly stallMs: number;
    /** Time for which a connection may be without a request. */
    readonly idleMs: number;
    /** Minimal pace of a client that sends or reads. */
    readonly minBytesPerS: number;
    /** Time for which a body may wait for room. */
    readonly waitMs: number;
    /** Values in a body, and depth of their nesting. */
    readonly maxValues: number;
    readonly maxNesting: number;
}

/**
 * Derives the limits.
 * @param machine What the machine has.
 * @param settings Limits that replace derived ones.
 * @returns The limits.
 */
export function deriveIngressLimits(machine: MachineSettings = {}, settings: IngressSettings = {}): IngressLimits {
    const memoryBytes = (machine.memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB;
    const descriptors = machine.descriptors ?? DEFAULT_DESCRIPTORS;
    const derivedConnections = Math.max(
        1,
        Math.floor(
            Math.min(
                (memoryBytes * CONNECTION_MEMORY_RATIO) / CONNECTION_BYTES,
                descriptors * CONNECTION_DESCRIPTOR_RATIO,
            ),
        ),
    );
    const connections = settings.connections ?? derivedConnections;
    const probeConnections = Math.max(MIN_PROBE_CONNECTIONS, Math.floor(connections * PROBE_CONNECTION_RATIO));
    const bodyBytes = settings.bodyMb === undefined ? memoryBytes * BODY_MEMORY_RATIO : settings.bodyMb * BYTES_PER_MB;
    const jobBytes = settings.jobMb === undefined ? memoryBytes * JOB_MEMORY_RATIO : settings.jobMb * BYTES_PER_MB;
    return {
        connections,
        probeConnections: settings.probeConnections ?? probeConnections,
        bodyBytes,
        jobBytes,
        requestsPerConnection: settings.requestsPerConnection ?? DEFAULT_REQUESTS_PER_CONNECTION,
        stallMs: settings.stallMs ?? DEFAULT_STALL_MS,
        idleMs: settings.idleMs ?? DEFAULT_IDLE_MS,
        minBytesPerS: settings.minBytesPerS ?? DEFAULT_MIN_BYTES_PER_S,
        waitMs: settings.waitMs ?? DEFAULT_WAIT_MS,
        maxValues: settings.maxValues ?? DEFAULT_MAX_VALUES,
        maxNesting: settings.maxNesting ?? DEFAULT_MAX_NESTING,
    };
}
