import { RequestListener } from "node:http";
import { Server } from "node:net";
import { Disposable, toDisposable } from "../../base/common/disposable";
import { DisposableStore } from "../../base/common/disposableStore";
import { TrafficMeter } from "../../base/common/trafficMeter";
import { AgendaLoop } from "../../base/node/agendaLoop";
import { WorkClock } from "../../base/node/workClock";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { WorkerClient } from "../../dispatch/common/workers/workerClient";
import { IngressPort } from "../../ingress/common/ingressGuard";
import { deriveIngressLimits } from "../../ingress/common/ingressLimits";
import { Ingress } from "../../ingress/node/ingress";
import { JobAnswer, JobCall } from "../../jobs/common/jobCall";
import { RecordStore } from "../../records/common/recordStore";
import { JobInstance } from "../common/jobInstance";
import { JobSettings } from "../common/jobSettings";
import { JobInstanceEffect, JobInstanceEvent } from "../common/jobInstanceEvents";
import { classOfEvent, EVENT_CLASSES, EventClass } from "../common/eventClass";
import { LoadRecorder } from "../common/loadRecorder";
import { ReadRecorder } from "../common/readRecorder";
import { WorkKind } from "../common/workKind";
import { DecisionLog } from "./decisionLog";
import { JobMetrics } from "./jobMetrics";
import { JobPerformers } from "./jobPerformers";
import { listen } from "./listen";
import { createProbeListener } from "./probeServer";
import { RuntimeMeter } from "./runtimeMeter";

/** Interval between two ticks of the loop of a leader. An event that waits for longer is late. */
const TICK_INTERVAL_MS = 25;

/** Interval between two ticks on standby, where only claims and the timeouts of calls and reads depend on them. */
const STANDBY_TICK_INTERVAL_MS = 50;

const MS_PER_SECOND = 1_000;

/** Dependencies of a process. */
export interface JobProcessParts {
    readonly store: RecordStore;
    readonly workers: WorkerClient;
    readonly log: DecisionLog;
    /** Measures the work of the loop. */
    readonly work: WorkClock<WorkKind>;
    /** Counts the requests that the store and the workers are sent. */
    readonly traffic: TrafficMeter<RequestKind>;
    /** Creates what serves callers. */
    readonly createFrontEnd: (process: JobProcess, ingress: Ingress) => RequestListener;
}

/** One running instance that serves jobs: its event loop, servers and performers of effects. */
export class JobProcess implements Disposable {
    private readonly resources = DisposableStore.create();
    private readonly loop: AgendaLoop<JobInstanceEvent, JobInstanceEffect, EventClass>;
    private readonly performers: JobPerformers;
    private readonly ingress: Ingress;
    private readonly metrics = JobMetrics.create();
    private readonly load = LoadRecorder.create();
    private readonly reads = ReadRecorder.create();
    private readonly runtime = this.resources.add(RuntimeMeter.create());
    /** Whether a report of the load has begun, which it does when the instance leads. */
    private isReporting = false;
    private isStopRequested = false;
    private resolveStopped: () => void = () => undefined;
    private readonly stopped = new Promise<void>(resolve => (this.resolveStopped = resolve));

    private constructor(
        private readonly instance: JobInstance,
        private readonly settings: JobSettings,
        private readonly parts: JobProcessParts,
    ) {
        const { store, workers, log, work } = parts;
        const post = (event: JobInstanceEvent) => this.loop.post(event);
        const onStopped = () => this.resolveStopped();
        const onError = (error: unknown) =>
            log.log("unexpected-error", { error: error instanceof Error ? error.stack : String(error) });
        log.onDidOmit(count => this.metrics.recordOmittedLines(count));
        const limits = deriveIngressLimits(settings.machine, settings.ingress);
        this.ingress = this.resources.add(Ingress.create(limits, count => log.log("clients-refused", count)));
        this.ingress.guard.onDidRefuse(refusal => this.metrics.recordRefusal(refusal));
        this.performers = JobPerformers.create(store, workers, log, this.metrics, post, onStopped);
        this.resources.add(this.performers);
        const perform = (effect: JobInstanceEffect) =>
            work.measure(effect.kind === "decision" ? "log" : "send", () => this.performers.perform(effect));
        const dispatch = (event: JobInstanceEvent, now: number, wallNow: number) =>
            work.measure(event.kind, () => instance.dispatch(event, now, wallNow));
        const onArrival = (arrivedAt: number, now: number) => this.recordArrival(arrivedAt, now);
        const urgency = { classes: EVENT_CLASSES, classOf: classOfEvent };
        this.loop = this.resources.add(AgendaLoop.create({ ...urgency, dispatch, perform, onError, onArrival }));
        this.observeLoad();
    }

    /**
     * Starts to listen and to follow the streams.
     * @param instance Decision logic of the instance.
     * @param settings Settings of the instance.
     * @param parts Other dependencies.
     * @returns The running process.
     * @throws The system error if it cannot listen on an address.
     */
    static async start(instance: JobInstance, settings: JobSettings, parts: JobProcessParts): Promise<JobProcess> {
        const process = new JobProcess(instance, settings, parts);
        await process.startServing();
        return process;
    }

    /** Whether a stop was requested. */
    get isStopping(): boolean {
        return this.isStopRequested;
    }

    /** Handles a call. @param call The call. @param reply Receives its answer. */
    handleCall(call: JobCall, reply: (answer: JobAnswer) => void): void {
        this.performers.handleCall(call, reply);
    }

    /** Handles a request to reload the settings, none of which can change at run time. */
    handleReload(): void {
        this.parts.log.log("settings-unchanged", {
            reason: "settings that can change at run time are read from the store",
        });
    }

    /** Stops gracefully. @returns Resolves when every open call has been answered. */
    async stop(): Promise<void> {
        this.isStopRequested = true;
        this.parts.log.log("stopping", {});
        this.loop.post({ kind: "stop" });
        await this.stopped;
        this.parts.log.log("stopped", {});
        await this.parts.log.drain();
        this.dispose();
    }

    /** Stops at once. */
    dispose(): void {
        this.resources.dispose();
        this.parts.log.dispose();
    }

    private registerGauges(): void {
        const { metrics, instance } = this;
        metrics.addGauge("leading", "1 while this instance schedules.", () => (instance.isLeading ? 1 : 0));
        metrics.addGauge("led_shards", "Shards that this instance schedules.", () => instance.ledShardCount);
        metrics.addGauge("ready", "1 while new callers should come.", () =>
            instance.isReady(performance.now()) ? 1 : 0,
        );
        metrics.addGauge("open_calls", "Callers that wait for an answer.", () => instance.openCallCount);
        metrics.addGauge("config_version", "Version of the configuration in force.", () => instance.configVersion ?? 0);
        metrics.addGauge("evacuated_domains", "Failure domains that are evacuated.", () => instance.evacuatedCount);
        metrics.addGauge("jobs", "Jobs that are known.", () => instance.jobCount);
        metrics.addGauge("job_bytes", "Estimated memory of the known jobs.", () => instance.jobBytes);
        metrics.addGauge(
            "log_delay_seconds",
            "How long the oldest log line that is not written has waited.",
            () => this.parts.log.delayMs / MS_PER_SECOND,
        );
    }

    private observeLoad(): void {
        const { instance, load, metrics, parts, resources } = this;
        resources.add(
            instance.loopDelay.onDidRecord(delayMs => {
                metrics.recordLoopDelay(delayMs);
                this.reportLoad(delayMs, performance.now());
                this.reportReads(performance.now());
            }),
        );
        resources.add(this.performers.onDidWaitToSend(({ order, waitMs }) => load.recordOrderWait(order, waitMs)));
        resources.add(this.runtime.onDidCollect(durationMs => metrics.recordCollection(durationMs)));
        resources.add(
            this.performers.onDidRead(({ stream, transfer }) => {
                metrics.recordRead(stream, transfer.bytes);
                this.reads.record(stream, transfer);
            }),
        );
        resources.add(
            parts.traffic.onDidSend(({ kind, bytes }) => {
                metrics.recordSent(kind, bytes);
                load.recordSent(kind, bytes);
            }),
        );
        resources.add(
            parts.work.onDidWork(({ kind, durationMs }) => {
                metrics.recordWork(kind, durationMs);
                load.recordWork(kind, durationMs);
            }),
        );
    }

    /** An event that waits for longer than a tick is late; a tick is so itself, from the time at which it was due. */
    private recordArrival(arrivedAt: number, now: number): void {
        if (now - arrivedAt > TICK_INTERVAL_MS) {
            this.instance.loopDelay.record(arrivedAt, now);
        }
    }

    /** Logs the load of the leader. The other instances do little, and their lines would only add to the log. */
    private reportLoad(delayMs: number, now: number): void {
        const { instance, load, parts } = this;
        if (!instance.isLeading) {
            this.isReporting = false;
            return;
        }
        if (!this.isReporting) {
            this.isReporting = true;
            load.reset();
            this.runtime.take();
        }
        load.recordDelay(delayMs, now);
        const report = load.takeReport(now, instance.startLoad, () => this.runtime.take());
        if (report !== undefined) {
            parts.log.log("loop-load", { ...report, logDelayMs: Math.round(parts.log.delayMs) });
        }
    }

    private reportReads(now: number): void {
        const report = this.reads.takeReport(now);
        if (report !== undefined) {
            this.parts.log.log("read-load", { ...report });
        }
    }

    private async startServing(): Promise<void> {
        this.registerGauges();
        const { listen: addresses } = this.settings;
        const { connections, probeConnections, requestsPerConnection } = this.ingress.guard.limits;
        const calls = { name: "calls", maxConnections: connections, maxRequests: requestsPerConnection };
        await this.listenOn(calls, addresses.calls, this.parts.createFrontEnd(this, this.ingress));
        const probe = { maxConnections: probeConnections, maxRequests: 1 };
        const isReady = () => this.instance.isReady(performance.now());
        const readiness = createProbeListener(() => ({ status: isReady() ? 200 : 503, body: "" }));
        await this.listenOn({ name: "readiness", ...probe }, addresses.readiness, readiness);
        if (addresses.metrics !== undefined) {
            const metrics = createProbeListener(async () => ({ status: 200, body: await this.metrics.page() }));
            await this.listenOn({ name: "metrics", ...probe }, addresses.metrics, metrics);
        }
        // A former incarnation has ended, since it listened on the same addresses.
        this.instance.start(performance.now()).forEach(effect => this.performers.perform(effect));
        const tickIntervalMs = () => (this.instance.isLeading ? TICK_INTERVAL_MS : STANDBY_TICK_INTERVAL_MS);
        this.loop.startTicking(dueAt => ({ kind: "tick", dueAt }), tickIntervalMs);
        this.parts.log.log("started", { calls: addresses.calls, failureDomain: this.settings.failureDomain });
    }

    private async listenOn(port: IngressPort, address: string, serve: RequestListener): Promise<void> {
        const server: Server = this.ingress.createServer(port, serve);
        await listen(server, address);
        const { guard } = this.ingress;
        this.metrics.addGauge(`${port.name}_connections`, `Open connections of the port for ${port.name}.`, () =>
            guard.connectionCount(port.name),
        );
        this.resources.add(toDisposable(() => server.close()));
    }
}
