import { ExecutionContext } from "ava";
import { ListedEnd, RunList, WorkerEffect } from "../../../dispatch/common/workers/workerMessages";
import { JobInstance } from "../../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../../host/common/jobInstanceEvents";
import { decodeSubmission } from "../../../platform/common/jobDecoder";
import { StreamDecoder } from "../../../platform/common/streamDecoder";
import { RecordEffect } from "../../../records/common/recordEvents";
import { StreamName } from "../../../records/common/recordStore";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { TrialSchedule } from "../trialSchedule";
import { BusyLoop } from "./busyLoop";
import { CONFIGURATION } from "./instanceFixture";
import { WorkMeter } from "./workMeter";
import { LIMITS } from "../jobTrialPlan";
import { createStreams } from "../trialStreams";

const HEARTBEAT_INTERVAL_MS = 1_500;
const STORE_LATENCY_MS = 4;
const WORKER_LATENCY_MS = 5;
/** Interval at which a held request is looked at, in ms. */
const HOLD_CHECK_MS = 10;

interface FixtureRun {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly endsAt: number;
}

class FixtureWorker {
    readonly runs = new Map<string, FixtureRun>();
    ended: ListedEnd[] = [];
    private endCount = 0;

    /** Ends the runs that are due. */
    update(now: number): void {
        for (const run of this.runs.values()) {
            if (now >= run.endsAt) {
                this.end(run.task, run.run, "done");
            }
        }
    }

    end(task: string, run: number, end: ListedEnd["end"]): void {
        if (this.runs.get(task)?.run === run) {
            this.runs.delete(task);
            this.endCount += 1;
            this.ended.push({ number: this.endCount, task, run, end, checkpoint: "" });
        }
    }

    list(now: number): RunList {
        const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt }) => ({
            task,
            run,
            checkpoint: "",
            percent: Math.floor((100 * (now - startedAt)) / (endsAt - startedAt)),
            latencyOrUsage: 0,
        }));
        return { incarnation: 1, running, ended: [...this.ended] };
    }
}

/** An epoch as it was seen from outside. */
export interface SeenEpoch {
    readonly instance: string;
    readonly epoch: number;
    /** Time (ms) at which its leader began to schedule. */
    readonly beganAt: number;
    /** Shard; the first one if undefined. */
    readonly shard: number | undefined;
}

/** An order to start a task. */
export interface SeenStart {
    readonly instance: string;
    readonly worker: string;
    readonly task: string;
    readonly at: number;
}

/** Jobs of one kind. */
export interface JobKind {
    /** Fields of their step as callers send them, besides its tasks and their CPU. */
    readonly step: Readonly<Record<string, unknown>>;
    /** Returns whether a job may have an id. */
    readonly isAllowed: (id: string) => boolean;
}

/** Sizes of a fixture. */
export interface FixtureCounts {
    readonly instances: number;
    readonly workers: number;
    /** CPU of each instance, in cores; 1 if undefined. */
    readonly cores?: number;
    /** Returns the failure domain of a worker; all are of one if undefined. */
    readonly zoneOf?: (worker: string) => string;
}

/** Several instances for which work takes time, with one store and workers that run tasks. */
export class TakeoverFixture {
    readonly schedule = TrialSchedule.create();
    readonly streams: Record<StreamName, KeyedLog> = createStreams();
    readonly loops: BusyLoop[] = [];
    /** Epochs in the order in which their leaders began to schedule. */
    readonly epochs: SeenEpoch[] = [];
    readonly starts: SeenStart[] = [];
    /** Times (ms) at which the jobs were submitted. */
    readonly submittedAt = new Map<string, number>();
    /** Time (ms) until which the stream of progress answers nothing. */
    progressDownUntil = 0;
    private readonly workers = new Map<string, FixtureWorker>();
    private readonly meter: WorkMeter;
    private jobCount = 0;
    private lastId = 0;
    private advancedUntil = 0;
    private seed = 1;

    /**
     * @param t The test.
     * @param counts Numbers of instances and workers, and the size of each instance.
     */
    constructor(
        t: ExecutionContext,
        private readonly counts: FixtureCounts,
    ) {
        this.meter = new WorkMeter(t);
        this.streams.operator.store("config", JSON.stringify(CONFIGURATION));
        for (let index = 0; index < counts.workers; index++) {
            this.workers.set(`w${index}`, new FixtureWorker());
            this.writeEntry(`w${index}`, index);
        }
        for (let index = 0; index < counts.instances; index++) {
            this.startInstance(`n${index}`, index);
        }
    }

    /** The loop of the instance that leads. */
    get leader(): BusyLoop {
        return this.loops.find(each => each.isAlive && each.instance.isLeading)!;
    }

    /** Advances the time. @param ms By how much, in ms. */
    advance(ms: number): void {
        this.advancedUntil += ms;
        this.schedule.runUntil(this.advancedUntil);
    }

    /** From now on, work takes time. */
    charge(): void {
        this.loops.forEach(each => (each.isCharged = true));
    }

    /**
     * Submits jobs of one step each.
     * @param count Number of jobs.
     * @param tasks Tasks of each, of 1 core.
     * @param kind Further fields of the step, and which ids the jobs may have; any if undefined.
     */
    submit(count: number, tasks: number, { step = {}, isAllowed = () => true }: Partial<JobKind> = {}): void {
        for (let index = 0; index < count; index++) {
            this.jobCount += 1;
            const id = this.nextId(isAllowed);
            this.submittedAt.set(id, this.schedule.now);
            const body = JSON.stringify({ spec: "s", steps: [{ count: tasks, cpu: 1_000, estMs: 1_000, ...step }] });
            const request = decodeSubmission(body);
            const call = { number: this.jobCount, host: "host", path: `/q/${id}`, callerTimeoutMs: 3_000, request };
            const running = this.loops.filter(each => each.isAlive);
            running[this.jobCount % running.length].post({ kind: "call", call });
        }
    }

    /** Submits a job of one task now and at regular intervals. @param intervalMs Interval in ms. */
    submitEvery(intervalMs: number): void {
        this.submit(1, 1);
        this.schedule.add(intervalMs, () => this.submitEvery(intervalMs));
    }

    private nextId(isAllowed: (id: string) => boolean): string {
        for (;;) {
            this.lastId += 1;
            const id = this.lastId.toString(16).padStart(16, "0");
            if (isAllowed(id)) {
                return id;
            }
        }
    }

    /** Ends the process of the leader. */
    killLeader(): void {
        this.leader.isAlive = false;
    }

    private startInstance(name: string, index: number): void {
        const identity = {
            instance: name,
            host: name,
            nonce: 1 + index * 37,
            storeRoundTripMs: () => 5,
            cores: this.counts.cores ?? 1,
        };
        const instance = JobInstance.create(identity, LIMITS, StreamDecoder.create());
        // Effects are performed after this constructor has assigned the loop.
        const loop: BusyLoop = new BusyLoop(instance, this.schedule, this.meter, effect =>
            this.schedule.add(0, () => this.perform(loop, name, effect)),
        );
        this.loops.push(loop);
    }

    private perform(loop: BusyLoop, name: string, effect: JobInstanceEffect): void {
        switch (effect.kind) {
            case "append":
                this.append(loop, effect);
                break;
            case "read":
            case "read-newest":
                this.setReadTimer(loop, effect);
                break;
            case "start":
            case "stop":
            case "throttle":
            case "list":
                if (effect.kind === "start") {
                    const { task } = effect.order;
                    this.starts.push({ instance: name, worker: effect.worker.id, task, at: this.schedule.now });
                }
                this.schedule.add(WORKER_LATENCY_MS, () => this.callWorker(loop, effect, this.schedule.now));
                break;
            case "decision":
                if (effect.name === "leader-began") {
                    const epoch = effect.data.epoch as number;
                    const shard = effect.data.shard as number | undefined;
                    this.epochs.push({ instance: name, epoch, beganAt: this.schedule.now, shard });
                }
                break;
        }
    }

    private append(loop: BusyLoop, effect: RecordEffect & { readonly kind: "append" }): void {
        const { writer, stream, append } = effect;
        const delayMs = Math.max(0, this.downUntil(stream) - this.schedule.now);
        this.schedule.add(delayMs + STORE_LATENCY_MS, () => {
            const result = this.streams[stream].append(append);
            this.answer(loop, { kind: "append-answer", writer, sequence: append.sequence, result });
        });
    }

    private setReadTimer(loop: BusyLoop, effect: Exclude<RecordEffect, { readonly kind: "append" }>): void {
        if (effect.delayMs === 0) {
            this.read(loop, effect);
        } else {
            loop.setTimer(effect.delayMs, () => this.read(loop, effect));
        }
    }

    private read(loop: BusyLoop, effect: Exclude<RecordEffect, { readonly kind: "append" }>): void {
        const { stream, number } = effect;
        const log = this.streams[stream];
        const sentAt = this.schedule.now;
        const check = () => {
            if (this.schedule.now < this.downUntil(stream)) {
                this.schedule.add(HOLD_CHECK_MS, check);
            } else if (effect.kind === "read-newest") {
                this.answer(loop, { kind: "newest-answer", stream, number, sentAt, result: log.newest(effect.after) });
            } else if (log.end > effect.from || this.schedule.now - sentAt >= effect.waitMs) {
                this.answer(loop, { kind: "read-answer", stream, number, sentAt, result: log.read(effect.from) });
            } else {
                this.schedule.add(HOLD_CHECK_MS, check);
            }
        };
        this.schedule.add(STORE_LATENCY_MS, check);
    }

    private downUntil(stream: StreamName): number {
        return stream === "progress" ? this.progressDownUntil : 0;
    }

    private callWorker(loop: BusyLoop, effect: WorkerEffect, arrivedAt: number): void {
        const worker = this.workers.get(effect.worker.id)!;
        const sentAt = arrivedAt - WORKER_LATENCY_MS;
        const { now } = this.schedule;
        worker.update(now);
        if (effect.kind === "list") {
            const { recordedUpTo, waitMs } = effect.order;
            worker.ended = worker.ended.filter(({ number }) => number > recordedUpTo);
            if (worker.ended.length === 0 && now - arrivedAt < waitMs) {
                this.schedule.add(HOLD_CHECK_MS, () => this.callWorker(loop, effect, arrivedAt));
                return;
            }
        } else if (effect.kind === "start") {
            const { task, run } = effect.order;
            worker.runs.set(task, { task, run, startedAt: now, endsAt: now + this.drawDurationMs() });
        } else if (effect.kind === "stop") {
            worker.end(effect.order.task, effect.order.run, "stopped");
        }
        const list = effect.kind === "list" ? worker.list(now) : undefined;
        const base = { worker: effect.worker.id, sentAt, outcome: "done" as const, clockMs: now };
        this.answer(loop, { kind: `${effect.kind}-answer`, order: effect.order, list, ...base } as JobInstanceEvent);
    }

    private answer(loop: BusyLoop, event: JobInstanceEvent): void {
        this.schedule.add(STORE_LATENCY_MS, () => loop.post(event));
    }

    private writeEntry(id: string, index: number): void {
        const entry = {
            service: "svc",
            addr: `10.0.0.${index + 1}:8080`,
            zone: this.counts.zoneOf?.(id) ?? "z",
            state: "ready",
            seq: 0,
            capacity: { cpu: 4_000, memMb: 8_000 },
            labels: [],
            born: 1,
        };
        this.streams.workers.store(id, JSON.stringify(entry));
        this.schedule.add(HEARTBEAT_INTERVAL_MS, () => this.writeEntry(id, index));
    }

    /** Durations between 1 and 3 s, the same in each run. */
    private drawDurationMs(): number {
        this.seed = (this.seed * 48_271) % 2_147_483_647;
        return 1_000 + (this.seed % 2_000);
    }
}
