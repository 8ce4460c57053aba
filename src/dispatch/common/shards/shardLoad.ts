import * as z from "zod/mini";
import { nameIn, parseShard } from "../../../records/common/shardNames";
import { ServiceLoad } from "./serviceLoad";
import { WorkerRoom } from "../workers/workerRoom";

/** Key of the record that states the load of the first shard. */
const LOAD_KEY = "load";

/** What the leader of a shard publishes for those of the others. */
export interface ShardLoad {
    /** Largest delay of the leader's loop of late, in ms. */
    readonly delayMs: number;
    /** Load of each service of which the shard has workers. */
    readonly services: ReadonlyMap<string, ServiceLoad>;
    /**
     * The workers of each service with the most room, beside its tasks that last and wait for it; a shard that fills up is left out.
     * Earlier versions publish none.
     */
    readonly rooms?: ReadonlyMap<string, readonly WorkerRoom[]>;
    /**
     * The same for tasks that ran before, beside those of them that wait: they also use what new ones leave to short tasks. Services for
     * which it is the same are left out.
     */
    readonly restartRooms?: ReadonlyMap<string, readonly WorkerRoom[]>;
    /** What the smallest tasks of each service that last and wait request, in thousandths of a core. Earlier versions publish none. */
    readonly lastingWaits?: ReadonlyMap<string, readonly number[]>;
}

const amount = z.number().check(z.nonnegative());
const loadSchema = z.object({
    cpuMillis: amount,
    memoryMb: amount,
    accelerators: amount,
    usedCpuMillis: amount,
    usedMemoryMb: amount,
    usedAccelerators: amount,
    idleMemoryMb: amount,
    spareCpuMillis: amount,
    waitingCpuMillis: amount,
    waitingSpareCpuMillis: amount,
    waitingMemoryMb: amount,
    waitingAccelerators: amount,
});
const FIELDS = Object.keys(loadSchema.shape) as (keyof ServiceLoad)[];

const roomsSchema = z.record(z.string(), z.array(z.tuple([z.string(), amount, amount, amount])));
type RoomsRecord = z.infer<typeof roomsSchema>;

/** The numbers of a load, in the order of `FIELDS`. */
const recordSchema = z.object({
    delayMs: amount,
    services: z.record(z.string(), z.array(amount)),
    rooms: z.optional(roomsSchema),
    restartRooms: z.optional(roomsSchema),
    lastingWaits: z.optional(z.record(z.string(), z.array(amount))),
});

/** @param shard Number of a shard. @returns Key of the record that states its load. */
export function loadKey(shard: number): string {
    return nameIn(LOAD_KEY, shard);
}

/** @param key Key of a record. @returns The shard whose load it states, or `undefined` if it states none. */
export function parseLoadKey(key: string): number | undefined {
    return parseShard(key, LOAD_KEY);
}

/** @param load A load. @returns Value of its record. */
export function encodeShardLoad({ delayMs, services, lastingWaits: waits, ...places }: ShardLoad): string {
    const numbers: Record<string, readonly number[]> = {};
    services.forEach((load, service) => (numbers[service] = FIELDS.map(field => Math.round(load[field]))));
    const lastingWaits = waits && Object.fromEntries(waits);
    const rooms = encodeRooms(places.rooms);
    const restartRooms = encodeRooms(places.restartRooms);
    return JSON.stringify({ delayMs: Math.round(delayMs), services: numbers, rooms, restartRooms, lastingWaits });
}

/** @param value Value of a record. @returns The load, or `undefined` if the value is malformed. */
export function decodeShardLoad(value: string): ShardLoad | undefined {
    try {
        const { delayMs, services, rooms, restartRooms, lastingWaits } = recordSchema.parse(JSON.parse(value));
        const loads = Object.entries(services).map(([service, numbers]): [string, ServiceLoad] => [
            service,
            loadSchema.parse(Object.fromEntries(FIELDS.map((field, index) => [field, numbers[index]] as const))),
        ]);
        return {
            delayMs,
            services: new Map(loads),
            ...(rooms === undefined ? {} : { rooms: decodeRooms(rooms) }),
            ...(restartRooms === undefined ? {} : { restartRooms: decodeRooms(restartRooms) }),
            ...(lastingWaits === undefined ? {} : { lastingWaits: new Map(Object.entries(lastingWaits)) }),
        };
    } catch {
        // The caller reports the record as malformed.
        return undefined;
    }
}

function encodeRooms(rooms: ReadonlyMap<string, readonly WorkerRoom[]> | undefined): RoomsRecord | undefined {
    const encode = ({ worker, cpuMillis, memoryMb, accelerators }: WorkerRoom): RoomsRecord[string][number] => [
        worker,
        Math.floor(cpuMillis),
        Math.floor(memoryMb),
        Math.floor(accelerators),
    ];
    return rooms && Object.fromEntries([...rooms].map(([service, each]) => [service, each.map(encode)]));
}

function decodeRooms(record: RoomsRecord): Map<string, WorkerRoom[]> {
    const decode = ([worker, cpuMillis, memoryMb, accelerators]: RoomsRecord[string][number]) => ({
        worker,
        cpuMillis,
        memoryMb,
        accelerators,
    });
    return new Map(Object.entries(record).map(([service, each]) => [service, each.map(decode)]));
}
