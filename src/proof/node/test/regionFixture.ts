import { Err, Ok } from "ts-results";
import { DispatchLimits } from "../../../dispatch/common/scheduler/dispatchLimits";
import { JobInstance } from "../../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../../host/common/jobInstanceEvents";
import { StreamDecoder } from "../../../platform/common/streamDecoder";
import { StoredRecord } from "../../../records/common/record";
import { LEADER_KEY } from "../../../records/common/leaderRecord";
import { RecordEffect } from "../../../records/common/recordEvents";
import { KEY_AFTER_ALL, StreamName } from "../../../records/common/recordStore";
import { LIMITS } from "../jobTrialPlan";
import { TrialSchedule } from "../trialSchedule";
import { createStreams } from "../trialStreams";

const TICK_MS = 25;
const HEARTBEAT_INTERVAL_MS = 1_500;
const RENEWAL_INTERVAL_MS = 300;
const WALL_START_MS = 1_700_000_000_000;

/** Interval at which other traffic and probes are sent, in ms. */
const BACKGROUND_INTERVAL_MS = 10;
const PROBE_INTERVAL_MS = 50;
const PROBE_BYTES = 1_000;

/** Time in which a response must begin, beside the wait for records: of a read, a check of the end, and a page, in ms. */
const TIMEOUTS_MS = { read: 1_500, end: 2_400, page: 12_000 };

/** Largest number of records of a page of newest records. */
const MAX_PAGE_RECORDS = 500;

const BITS_PER_BYTE = 8;

/** What reads a region takes part in. */
export interface RegionPlan {
    readonly instances: number;
    readonly workers: number;
    /** Rate of the link to the region, in Mbit/s, and of the other traffic on it. */
    readonly linkMbps: number;
    readonly otherMbps: number;
    /** One-way delay of the link, in ms. */
    readonly delayMs: number;
    readonly configurationMs: number;
}

/** A page on its way. */
interface SentPage {
    readonly records: readonly StoredRecord[];
    readonly end: number;
    readonly hasMore?: boolean;
    readonly bytes: number;
}

type ReadEffect = RecordEffect & { readonly kind: "read" | "read-newest" };

/** A link that sends everything in the order in which it arrives. */
class Link {
    private freeAt = 0;

    constructor(
        private readonly schedule: TrialSchedule,
        private readonly mbps: number,
        private readonly delayMs: number,
    ) {}

    /** @returns How long it takes until what is sent now begins to arrive, in ms. */
    get waitMs(): number {
        return Math.max(0, this.freeAt - this.schedule.now) + this.delayMs;
    }

    /** @param onArrival Called when the last byte has arrived. @returns Time that the bytes themselves take, in ms. */
    send(bytes: number, onArrival?: () => void): number {
        const durationMs = (bytes * BITS_PER_BYTE) / (this.mbps * 1_000);
        this.freeAt = Math.max(this.freeAt, this.schedule.now) + durationMs;
        if (onArrival !== undefined) {
            this.schedule.add(this.freeAt - this.schedule.now + this.delayMs, onArrival);
        }
        return durationMs;
    }
}

/** Instances of a region that does not have the store, on standby. All they read crosses one link. */
export class RegionFixture {
    readonly streams = createStreams();
    /** Time in ms that each probe took to cross the link, with the time at which it was sent. */
    readonly probes: { readonly sentAt: number; readonly tookMs: number }[] = [];
    readonly answers: { readonly at: number; readonly kind: string }[] = [];
    private readonly schedule = TrialSchedule.create();
    private readonly link: Link;
    private readonly instances: JobInstance[];
    /** Bytes that all instances have read of each stream. */
    readonly readBytes = new Map<StreamName, number>();
    private readonly waiting = new Set<() => void>();
    private versions: { readonly version: number; readonly storedAt: number }[] = [];
    private callCount = 0;

    constructor(private readonly plan: RegionPlan) {
        this.link = new Link(this.schedule, plan.linkMbps, plan.delayMs);
        const limits: DispatchLimits = { ...LIMITS, configurationMs: plan.configurationMs };
        this.instances = Array.from({ length: plan.instances }, (_, index) =>
            JobInstance.create(
                {
                    instance: `far-${index}`,
                    host: `far-${index}`,
                    nonce: index * 7_919,
                    storeRoundTripMs: () => 2 * plan.delayMs,
                    cores: 1,
                },
                limits,
                StreamDecoder.create(),
            ),
        );
        for (let worker = 0; worker < plan.workers; worker++) {
            this.repeat(HEARTBEAT_INTERVAL_MS, (worker * HEARTBEAT_INTERVAL_MS) / plan.workers, () =>
                this.writeEntry(worker),
            );
        }
        this.repeat(RENEWAL_INTERVAL_MS, 0, () =>
            this.store("jobs", LEADER_KEY, JSON.stringify({ epoch: 1, instance: "near", cores: 9 })),
        );
        const otherBytes = (plan.otherMbps * 1_000 * BACKGROUND_INTERVAL_MS) / BITS_PER_BYTE;
        this.repeat(BACKGROUND_INTERVAL_MS, 0, () => this.link.send(otherBytes));
        this.repeat(PROBE_INTERVAL_MS, 0, () => this.sendProbe());
        this.instances.forEach((instance, index) => {
            // Instances do not start at the same moment.
            this.schedule.add((index * 300) / plan.instances, () => {
                instance.start(this.schedule.now).forEach(effect => this.perform(instance, effect));
                this.repeat(TICK_MS, 0, () => this.dispatch(instance, { kind: "tick" }));
            });
        });
    }

    /** Stores a configuration. @param routes Number of its routes. */
    configure(routes: number): void {
        const version = (this.versions[this.versions.length - 1]?.version ?? 0) + 1;
        const service = "service-0000";
        const queues = Array.from({ length: routes }, (_, index) => ({
            host: `host-${index}.${"x".repeat(40)}.example`,
            prefix: `/${String(index).padStart(9, "0")}/`,
            service,
            priority: 2,
            attempts: 3,
            stretch: 4,
            sloMs: 1_000,
            timeoutMs: 10_000,
        }));
        const services = [{ name: service, rejectsOverload: true }];
        this.versions.push({ version, storedAt: this.schedule.now });
        this.store("operator", "config", JSON.stringify({ version, routes: queues, services }));
    }

    /** Size of the newest configuration, in characters. */
    get configurationLength(): number {
        return this.streams.operator.newest(undefined).unwrap().records[0].value!.length;
    }

    /** Time in ms. */
    get now(): number {
        return this.schedule.now;
    }

    /** Advances the time. @param ms By how much, in ms. */
    advance(ms: number): void {
        const until = this.schedule.now + ms;
        this.schedule.add(ms, () => undefined);
        this.schedule.runUntil(until);
    }

    /** @returns How many instances have an older version than the newest one that has to be in force. */
    countOutdated(): number {
        const dueAt = this.schedule.now - this.plan.configurationMs;
        const due = this.versions.filter(each => each.storedAt < dueAt).pop()?.version ?? 0;
        return this.instances.filter(instance => (instance.configVersion ?? 0) < due).length;
    }

    /** Calls each instance for a queue that is not configured. */
    callAll(): void {
        this.instances.forEach(instance => {
            this.callCount += 1;
            const request = { kind: "read" } as const;
            const call = { number: this.callCount, host: "h", path: "/none/1", callerTimeoutMs: 3_000, request };
            this.dispatch(instance, { kind: "call", call });
        });
    }

    private repeat(intervalMs: number, firstMs: number, perform: () => void): void {
        this.schedule.add(firstMs, () => {
            perform();
            this.repeat(intervalMs, intervalMs, perform);
        });
    }

    private sendProbe(): void {
        const sentAt = this.schedule.now;
        this.link.send(PROBE_BYTES, () => this.probes.push({ sentAt, tookMs: this.schedule.now - sentAt }));
    }

    private writeEntry(worker: number): void {
        const entry = {
            service: "service-0000",
            addr: `10.0.${worker >> 8}.${worker & 255}:8080`,
            zone: "zone-1",
            version: "1.0.0",
            slots: 0,
            state: "ready",
            warmupLeftMs: 0,
            seq: Math.floor(this.schedule.now / HEARTBEAT_INTERVAL_MS),
            machine: `machine-${worker}`,
            capacity: { cpu: 64_000, memMb: 256_000 },
            labels: ["kind-a", `rack-${worker % 20}`],
            born: WALL_START_MS - 60_000,
        };
        this.store("workers", `worker-${worker}`, JSON.stringify(entry));
    }

    private store(stream: StreamName, key: string, value: string): void {
        this.streams[stream].store(key, value);
        [...this.waiting].forEach(wake => wake());
    }

    private dispatch(instance: JobInstance, event: JobInstanceEvent): void {
        const { now } = this.schedule;
        instance.dispatch(event, now, WALL_START_MS + now).forEach(effect => this.perform(instance, effect));
    }

    private perform(instance: JobInstance, effect: JobInstanceEffect): void {
        if (effect.kind === "read" || effect.kind === "read-newest") {
            this.schedule.add(effect.delayMs, () => this.sendRead(instance, effect));
        } else if (effect.kind === "append") {
            const { writer, append } = effect;
            const base = { kind: "append-answer", writer, sequence: append.sequence } as const;
            const answer = () => this.dispatch(instance, { ...base, result: Err("not-done") });
            this.schedule.add(2 * this.plan.delayMs, answer);
        } else if (effect.kind === "answer") {
            this.answers.push({ at: this.schedule.now, kind: effect.answer.kind });
        }
    }

    private sendRead(instance: JobInstance, effect: ReadEffect): void {
        const sentAt = this.schedule.now;
        this.schedule.add(this.plan.delayMs, () => {
            if (effect.kind === "read-newest") {
                const page = this.newestPage(effect.stream, effect.after);
                const timeoutMs = effect.after === KEY_AFTER_ALL ? TIMEOUTS_MS.end : TIMEOUTS_MS.page;
                this.reply(instance, effect, sentAt, timeoutMs, page);
                return;
            }
            const log = this.streams[effect.stream];
            const reply = () => {
                this.waiting.delete(wake);
                const page = log.read(effect.from).unwrap();
                const bytes = sizeOf(page.records, 1, 5) + 16;
                this.reply(instance, effect, sentAt, effect.waitMs + TIMEOUTS_MS.read, { ...page, bytes });
            };
            const wake = () => log.end > effect.from && reply();
            if (log.end > effect.from) {
                reply();
            } else {
                this.waiting.add(wake);
                this.schedule.add(effect.waitMs, () => this.waiting.has(wake) && reply());
            }
        });
    }

    private newestPage(stream: StreamName, after: string | undefined): SentPage {
        const log = this.streams[stream];
        const records: StoredRecord[] = [];
        let page = log.newest(after).unwrap();
        records.push(...page.records);
        while (page.hasMore && records.length < MAX_PAGE_RECORDS) {
            page = log.newest(records[records.length - 1].key).unwrap();
            records.push(...page.records);
        }
        // Values are in base64.
        return { records, end: page.end, hasMore: page.hasMore, bytes: sizeOf(records, 4 / 3, 40) + 40 };
    }

    private reply(
        instance: JobInstance,
        { kind, stream, number }: ReadEffect,
        sentAt: number,
        timeoutMs: number,
        { bytes, ...page }: SentPage,
    ): void {
        const base = { kind: kind === "read" ? "read-answer" : "newest-answer", stream, number, sentAt } as const;
        const post = (result: object) => this.dispatch(instance, { ...base, result } as JobInstanceEvent);
        this.readBytes.set(stream, (this.readBytes.get(stream) ?? 0) + bytes);
        const isTooLate = this.schedule.now + this.link.waitMs - sentAt > timeoutMs;
        if (isTooLate) {
            // The page is sent all the same.
            this.schedule.add(sentAt + timeoutMs - this.schedule.now, () => post(Err("unavailable" as const)));
        }
        const durationMs = this.link.send(
            bytes,
            () => isTooLate || post(Ok({ ...page, transfer: { bytes, durationMs } })),
        );
    }
}

/** @returns Bytes of records on a link. @param ratio Size of a value in relation to its text. @param extra Bytes of each beside. */
function sizeOf(records: readonly StoredRecord[], ratio: number, extra: number): number {
    return records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0) * ratio + extra, 0);
}
