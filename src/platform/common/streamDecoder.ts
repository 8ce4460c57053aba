import * as z from "zod/mini";
import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { EntryDecoder } from "../../host/common/entryDecoder";
import { Configuration } from "../../jobs/common/queueTable";
import { StoredRecord } from "../../records/common/record";
import { isAddress } from "../../services/common/address";

const CONFIG_KEY = "config";

/** Begins the key of a record that requests the evacuation of a zone; the zone follows. */
const EVACUATION_PREFIX = "evacuate/";

/** Zones are names in entries and settings; a key that cannot be read as text names none. */
const ZONE_NAME = /^[\x21-\x7e\u00a0-\ufffc]{1,255}$/;

/** An order names its worker in a header, so an id has visible ASCII characters only. */
const WORKER_ID = /^[\x21-\x7e]{1,255}$/;

/** Limit of each quantity of a worker's capacity: 1,000,000 cores, 1 PB of memory. */
const MAX_QUANTITY = 1_000_000_000;

/** Limit of the times that a worker announces for itself, in ms: one week. */
const MAX_ANNOUNCED_MS = 604_800_000;

/** Limit of the start of a worker, in ms since the Unix epoch: the end of the year 9999. */
const MAX_UNIX_MS = 253_402_300_799_999;

/** Counts the heartbeats of a worker; most entries differ from the one before only by it. */
const HEARTBEAT_COUNT = /"seq":(?:0|[1-9]\d*)(?=[,}])/;

/** Limit of the entries that are remembered; above it, all are forgotten. */
const MAX_REMEMBERED_ENTRIES = 5_000;

/** Stands for each byte that is not part of a UTF-8 character. */
const UNREADABLE_CHARACTER = "\ufffd";

const optionalNonNegative = z.optional(z.number().check(z.nonnegative()));
const optionalQuantity = z.optional(z.number().check(z.nonnegative(), z.maximum(MAX_QUANTITY)));
const optionalAnnouncedMs = z.optional(z.number().check(z.nonnegative(), z.maximum(MAX_ANNOUNCED_MS)));

const serverSchema = z.object({
    service: z.string(),
    addr: z.string().check(z.refine(isAddress)),
    zone: z.string(),
    state: z.enum(["ready", "draining"]),
    warmupLeftMs: optionalAnnouncedMs,
    capacity: z.object({ cpu: optionalQuantity, memMb: optionalQuantity, gpu: optionalQuantity }),
    labels: z.optional(z.array(z.string())),
    born: z.optional(z.int().check(z.nonnegative(), z.maximum(MAX_UNIX_MS))),
    drainRemainingMs: optionalAnnouncedMs,
});

const configSchema = z.object({
    version: z.int().check(z.nonnegative()),
    routes: z.array(
        z.object({
            host: z.string(),
            prefix: z.string(),
            service: z.string(),
            priority: optionalNonNegative,
            attempts: optionalNonNegative,
            stretch: optionalNonNegative,
            sloMs: optionalNonNegative,
            timeoutMs: optionalNonNegative,
            advice: z.optional(
                z.object({ decideMs: optionalNonNegative, eachMs: optionalNonNegative, validMs: optionalNonNegative }),
            ),
        }),
    ),
    services: z.array(
        z.object({
            name: z.string(),
            rejectsOverload: z.optional(z.boolean()),
            standby: z.optional(z.boolean()),
        }),
    ),
    limits: z.optional(z.object({ maxBodyBytes: optionalNonNegative })),
});

/** Limit of a request body unless the operator sets another. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** An entry and the text that it was decoded from, without the count of heartbeats. */
interface DecodedEntry {
    readonly text: string;
    readonly entry: WorkerEntry;
}

/** Decodes the platform's records of workers and of the operator. */
export class StreamDecoder extends EntryDecoder {
    /** The latest entry of each worker, which is decoded again only after a change. */
    private readonly decodedEntries = new Map<string, DecodedEntry>();

    private constructor() {
        super();
    }

    /** @returns The decoder. */
    static create(): StreamDecoder {
        return new StreamDecoder();
    }

    override isConfiguration(record: StoredRecord): boolean {
        return record.key === CONFIG_KEY;
    }

    override decodeConfiguration(record: StoredRecord): Configuration | undefined {
        const parsed = this.isConfiguration(record) ? parse(record.value, configSchema) : undefined;
        if (parsed === undefined) {
            return undefined;
        }
        return {
            version: parsed.version,
            queues: parsed.routes.map(route => ({
                name: `${route.host}${route.prefix}`,
                host: route.host,
                prefix: route.prefix,
                service: route.service,
                priority: route.priority ?? 0,
                maxAttempts: route.attempts ?? 1,
                stretch: route.stretch ?? 1,
                slackMs: route.sloMs ?? 0,
                timeoutMs: route.timeoutMs ?? 0,
                advice: route.advice && {
                    decideMs: route.advice.decideMs ?? 0,
                    perWorkerMs: route.advice.eachMs ?? 0,
                    validMs: route.advice.validMs ?? 0,
                },
            })),
            services: parsed.services.map(service => ({
                name: service.name,
                rejectsOverload: service.rejectsOverload ?? false,
                isStandby: service.standby ?? false,
            })),
            maxBodyBytes: parsed.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
        };
    }

    override isEvacuation(key: string): boolean {
        return key.startsWith(EVACUATION_PREFIX);
    }

    override decodeEvacuation(key: string): string | undefined {
        const zone = this.isEvacuation(key) ? key.slice(EVACUATION_PREFIX.length) : "";
        return ZONE_NAME.test(zone) ? zone : undefined;
    }

    override decodeWorker(record: StoredRecord): WorkerEntry | undefined {
        const text = record.value?.replace(HEARTBEAT_COUNT, "");
        const known = this.decodedEntries.get(record.key);
        if (known !== undefined && known.text === text) {
            return known.entry;
        }
        const entry = decodeEntry(record);
        if (entry === undefined || text === undefined) {
            this.decodedEntries.delete(record.key);
            return entry;
        }
        if (this.decodedEntries.size >= MAX_REMEMBERED_ENTRIES) {
            this.decodedEntries.clear();
        }
        this.decodedEntries.set(record.key, { text, entry });
        return entry;
    }
}

function decodeEntry(record: StoredRecord): WorkerEntry | undefined {
    const isReadable = WORKER_ID.test(record.key) && record.value?.includes(UNREADABLE_CHARACTER) === false;
    const server = isReadable ? parse(record.value, serverSchema) : undefined;
    if (server === undefined) {
        return undefined;
    }
    const { cpu = 0, memMb = 0, gpu = 0 } = server.capacity;
    return {
        id: record.key,
        incarnation: server.born ?? 0,
        service: server.service,
        address: server.addr,
        failureDomain: server.zone,
        state: server.state,
        warmupLeftMs: server.warmupLeftMs ?? 0,
        drainLeftMs: server.drainRemainingMs,
        capacity: { cpuMillis: cpu, memoryMb: memMb, accelerators: gpu },
        labels: server.labels ?? [],
        rack: server.labels?.[1] ?? "",
    };
}

function parse<T>(value: string | undefined, schema: z.ZodMiniType<T>): T | undefined {
    if (value === undefined) {
        return undefined;
    }
    try {
        const parsed = schema.safeParse(JSON.parse(value));
        return parsed.success ? parsed.data : undefined;
    } catch {
        // Other writers may store values that are not JSON. They are ignored.
        return undefined;
    }
}
