import { WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { JobInstance } from "../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { JobDraft, JobRequest } from "../../jobs/common/jobCall";
import { encodeShardPlan, SHARD_PLAN_KEY } from "../../jobs/common/shardPlan";
import {
    createDraft,
    createLastingDraft,
    deadlyTaskOf,
    JobTrialPlan,
    JobTrialResult,
    QUEUE,
    limitsOf,
    submitDelayMs,
    TrialDecoder,
} from "./jobTrialPlan";
import { TrialNode } from "./jobTrialNode";
import { JobRuleChecker } from "./jobRuleChecker";
import { preferRack } from "./placePlan";
import { Random } from "./random";
import { RandomTransferPolicy } from "./randomTransferPolicy";
import { TrialCancellations } from "./trialCancellations";
import { TrialColocation } from "./trialColocation";
import { TrialConnections } from "./trialConnections";
import { TrialDelays } from "./trialDelays";
import { MAX_DOWN_MS, TrialInjector, TrialNodeHost } from "./trialInjector";
import { TrialProcessor } from "./trialProcessor";
import { DelayedStream, TrialReads } from "./trialReads";
import { TrialSchedule } from "./trialSchedule";
import { TrialStore } from "./trialStore";
import { TrialWorkers } from "./trialWorkers";

const TICK_INTERVAL_MS = 25;
/**
 * Time after the last fault within which all jobs must end, in ms. The leases of lost leaders and workers can expire
 * twice in this time.
 */
const RECOVERY_TIMEOUT_MS = 60_000;

const FINAL_STATES = ["done", "failed", "cancelled"];

/** Runs whole instances on a virtual clock against an in-memory store and workers, and injects random faults. */
export class JobTrial {
    private readonly random: Random;
    private readonly timeline = TrialSchedule.create();
    private readonly checker: JobRuleChecker;
    private readonly nodes: TrialNode[] = [];
    private readonly jobs = new Map<string, { draft: JobDraft; isAccepted: boolean }>();
    /** Lines of the trace. */
    private readonly trace: string[] = [];
    private lastCallNumber = 0;
    private readonly delays = TrialDelays.create();
    /** How often an instance became leader. */
    private leaders = 0;
    private transfers = 0;
    private taskTransfers = 0;

    private readonly workers: TrialWorkers;
    private readonly colocation: TrialColocation | undefined;
    private readonly cancellations: TrialCancellations;
    private readonly reads: Readonly<Record<DelayedStream, TrialReads>>;
    private readonly store: TrialStore;
    private readonly injector: TrialInjector;

    private constructor(private readonly plan: JobTrialPlan) {
        this.random = Random.create(plan.seed);
        this.checker = JobRuleChecker.create(this.timeline, plan.lasting?.maxGapMs, plan.evacuations?.boundMs);
        this.reads = {
            jobs: TrialReads.create(plan.seed, "jobs", this.timeline),
            workers: TrialReads.create(plan.seed, "workers", this.timeline),
            operator: TrialReads.create(plan.seed, "operator", this.timeline),
        };
        this.store = TrialStore.create(this.random, this.timeline, this.reads);
        this.cancellations = TrialCancellations.create(
            plan.seed,
            plan.cancelRatio ?? 0,
            this.timeline,
            this.checker.cancellations,
            (id, random) => this.call(id, { kind: "cancel" }, random),
        );
        this.store.streams.operator.store("config", "{}");
        this.divide();
        const { seed, colocation } = plan;
        this.colocation = colocation && TrialColocation.create(seed, colocation, plan.workers);
        this.workers = TrialWorkers.create({
            plan,
            random: this.random,
            schedule: this.timeline,
            checker: this.checker,
            registry: this.store.streams.workers,
            trace: this.trace,
            colocation: this.colocation,
        });
        this.injector = this.createInjector();
    }

    /** @param plan Parameters of the trial. @returns The result, which is the same for the same plan. */
    static run(plan: JobTrialPlan): JobTrialResult {
        return new JobTrial(plan).run();
    }

    private get now(): number {
        return this.timeline.now;
    }

    private run(): JobTrialResult {
        for (let index = 0; index < this.plan.instances; index++) {
            this.nodes.push({
                index,
                instance: undefined,
                incarnation: 0,
                frozenMs: 0,
                frozenUntil: 0,
                storeCutUntil: 0,
                deferred: [],
            });
            this.startNode(this.nodes[index]);
        }
        this.plan.sabotage?.(this);
        this.submitLasting();
        if (this.plan.lasting?.isAlone !== true) {
            this.schedule(2_000, () => this.submitNext());
        }
        this.plan.plannedFaults?.forEach(([atMs, fault]) =>
            this.schedule(atMs, () => this.injector.injectPlanned(fault)),
        );
        if (this.plan.faultEveryMs > 0) {
            this.schedule(3_000, () => this.injector.injectNext());
        }
        this.injector.planRestart();
        this.injector.planDrains();
        this.injector.planEvacuations();
        this.timeline.runUntil(this.plan.lengthMs + (this.plan.recoveryMs ?? RECOVERY_TIMEOUT_MS));
        this.checkFinished();
        const accepted = this.checker.accepted.size;
        const finished = [...this.checker.accepted].filter(id => this.jobState(id) === "done").length;
        const { trace, leaders, jobs, delays, checker } = this;
        const { violations: breaches, starts, deadlyCrashes: crashes, sharedCrashes, shrinks } = checker;
        const counts = { jobs: jobs.size, accepted, finished, starts, leaders, ...delays.counts };
        const cancelled = checker.cancellations.count;
        const drained = checker.drains.count;
        const { count: evacuated, longestWaitMs: takeBackMs } = checker.evacuations;
        const { transfers, taskTransfers } = this;
        const changes = { shrinks, cancelled, drained, evacuated, takeBackMs, transfers, taskTransfers };
        return { breaches, ...counts, crashes, sharedCrashes, ...changes, trace };
    }

    /** Stores a plan by which the shards have as many racks. */
    private divide(): void {
        const { shards: count = 1 } = this.plan;
        if (count > 1) {
            const plan = { count, racks: { r0: 0, r1: 1 }, epoch: 1 };
            this.store.streams.jobs.store(SHARD_PLAN_KEY, encodeShardPlan(plan));
        }
    }

    private schedule(delayMs: number, perform: () => void): void {
        this.timeline.add(delayMs, perform);
    }

    // Instances

    private startNode(node: TrialNode): void {
        node.incarnation += 1;
        node.frozenMs = 0;
        node.frozenUntil = 0;
        node.deferred = [];
        const { incarnation } = node;
        this.startProcessor(node, incarnation);
        const identity = {
            instance: `n${node.index}-${node.incarnation}`,
            host: `n${node.index}`,
            nonce: this.random.between(0, 1_000_000),
            storeRoundTripMs: () => 5 + node.index,
            cores: 1,
            work: node.processor,
        };
        const { seed, transferRatio } = this.plan;
        const policy = transferRatio === undefined ? undefined : RandomTransferPolicy.create(seed, transferRatio);
        const instance = JobInstance.create(identity, limitsOf(this.plan), new TrialDecoder(this.plan), policy);
        node.instance = instance;
        const startedAt = this.now;
        this.schedule(this.random.between(0, 50), () => {
            instance.start(startedAt).forEach(effect => this.perform(node, incarnation, effect));
            this.tick(node, incarnation);
        });
    }

    /** With a cost model, the work of the instance takes time and its orders wait for one of few connections. */
    private startProcessor(node: TrialNode, incarnation: number): void {
        const { costs } = this.plan;
        const connections = costs?.connections ?? Number.POSITIVE_INFINITY;
        node.connections?.close();
        node.connections = TrialConnections.create(
            connections,
            this.timeline,
            this.workers.sinkOf(`n${node.index}-${incarnation}`),
        );
        if (costs === undefined) {
            return;
        }
        const isOpen = (id: string) => !FINAL_STATES.includes(node.instance?.stateOfJob(id) ?? "");
        node.processor = TrialProcessor.create(costs, this.timeline, {
            openJobs: () => [...this.checker.accepted].filter(isOpen).length,
            dispatch: event => this.dispatch(node, incarnation, event),
            onDelay: waitedMs => this.recordDelay(node, waitedMs),
            perform: effect => node.incarnation === incarnation && this.perform(node, incarnation, effect),
        });
    }

    private recordDelay({ instance, frozenMs }: TrialNode, waitedMs: number): void {
        if (instance?.isLeading) {
            this.delays.record(waitedMs, this.now);
        }
        // As in the process, an event that waits for longer than a tick is late.
        if (waitedMs > TICK_INTERVAL_MS) {
            const now = this.now - frozenMs;
            instance?.loopDelay.record(now - waitedMs, now);
        }
    }

    private tick(node: TrialNode, incarnation: number): void {
        if (node.incarnation !== incarnation || node.instance === undefined) {
            return;
        }
        this.post(node, incarnation, { kind: "tick", dueAt: this.now - node.frozenMs });
        this.schedule(TICK_INTERVAL_MS, () => this.tick(node, incarnation));
    }

    /** Dispatches an event; a frozen instance receives it when the freeze ends. */
    private post(node: TrialNode, incarnation: number, event: JobInstanceEvent): void {
        if (node.incarnation !== incarnation || node.instance === undefined) {
            return;
        }
        if (this.now < node.frozenUntil) {
            node.deferred.push(() => this.post(node, incarnation, event));
            return;
        }
        if (node.processor !== undefined) {
            node.processor.post(event);
            return;
        }
        this.dispatch(node, incarnation, event).forEach(effect => this.perform(node, incarnation, effect));
    }

    private dispatch(node: TrialNode, incarnation: number, event: JobInstanceEvent): JobInstanceEffect[] {
        if (node.incarnation !== incarnation || node.instance === undefined) {
            return [];
        }
        const wasLeading = node.instance.isLeading;
        const monotonicNow = this.now - node.frozenMs;
        const effects = node.instance.dispatch(event, monotonicNow, 1_700_000_000_000 + this.now);
        if (!wasLeading && node.instance.isLeading) {
            this.leaders += 1;
        }
        return effects;
    }

    private perform(node: TrialNode, incarnation: number, effect: JobInstanceEffect): void {
        switch (effect.kind) {
            case "append":
            case "read":
            case "read-newest":
                this.store.call(node, effect, event => this.post(node, incarnation, event));
                break;
            case "start":
                this.checker.cancellations.recordOrder(effect.order.task, effect.order.run, node.index);
                this.checker.drains.recordOrder(effect.order.task, effect.order.run, node.index);
                this.checker.evacuations.recordOrder(effect.order.task, effect.order.run, node.index);
                this.callWorker(node, incarnation, effect);
                break;
            case "stop":
            case "throttle":
            case "list":
                this.callWorker(node, incarnation, effect);
                break;
            case "answer":
                this.onAnswer(effect.call.path.slice(QUEUE.prefix.length), effect.call.request.kind, effect.answer);
                break;
            case "decision":
                this.checker.reports.record(effect.name, effect.data, this.now);
                this.transfers += effect.name === "job-transferred" ? 1 : 0;
                this.taskTransfers += effect.name === "task-transferred" ? 1 : 0;
                if (effect.name === "successor-named" && this.plan.handoverFault !== undefined) {
                    this.injector.strikeHandover(this.plan.handoverFault, node, String(effect.data.successor));
                }
                this.trace.push(`${Math.round(this.now)} n${node.index} ${effect.name} ${JSON.stringify(effect.data)}`);
                break;
            case "record-dropped":
                this.trace.push(`${Math.round(this.now)} n${node.index} record-dropped ${effect.key} ${effect.bytes}`);
                break;
            case "stopped":
                this.kill(node);
                break;
        }
    }

    private callWorker(node: TrialNode, incarnation: number, effect: WorkerEffect): void {
        const onAnswer = (event: JobInstanceEvent) => this.post(node, incarnation, event);
        node.connections?.call(effect, this.now - node.frozenMs, onAnswer);
    }

    // Clients

    private submitNext(): void {
        if (this.now > this.plan.lengthMs) {
            return;
        }
        const id = this.random
            .between(0, 2 ** 31 - 1)
            .toString(16)
            .padStart(16, "0");
        const colocated = this.colocation?.nextDraft(id);
        this.submitFirst(id, colocated?.draft ?? preferRack(id, createDraft(this.random), this.plan.places));
        this.schedule(colocated?.nextInMs ?? submitDelayMs(this.plan, this.random), () => this.submitNext());
    }

    private submitLasting(): void {
        for (let index = 0; index < (this.plan.lasting?.count ?? 0); index++) {
            this.schedule(2_000, () =>
                this.submitFirst(`1a5${index}`.padEnd(16, "0"), createLastingDraft(this.plan.lasting)),
            );
        }
    }

    private submitFirst(id: string, draft: JobDraft): void {
        this.jobs.set(id, { draft, isAccepted: false });
        const deadlyTask = deadlyTaskOf(id, this.plan.deadlyRatio ?? 0);
        this.checker.recordSubmission({ id, queue: QUEUE, acceptedAtMs: 0, ...draft }, deadlyTask);
        this.submit(id, 5);
    }

    private submit(id: string, attemptsLeft: number): void {
        const job = this.jobs.get(id)!;
        if (job.isAccepted || attemptsLeft === 0) {
            return;
        }
        this.call(id, { kind: "submit", draft: job.draft });
        this.schedule(3_200, () => this.submit(id, attemptsLeft - 1));
    }

    private call(id: string, request: JobRequest, random = this.random): void {
        const running = this.nodes.filter(each => each.instance !== undefined && this.now >= each.frozenUntil);
        if (running.length === 0) {
            return;
        }
        const node = random.pick(running);
        this.lastCallNumber += 1;
        const path = `${QUEUE.prefix}${id}`;
        const call = { number: this.lastCallNumber, host: QUEUE.host, path, callerTimeoutMs: 3_000, request };
        this.post(node, node.incarnation, { kind: "call", call });
    }

    private onAnswer(id: string, request: string, answer: { kind: string; state?: string }): void {
        if (answer.kind === "accepted") {
            if (!this.jobs.get(id)!.isAccepted) {
                this.cancellations.onAccepted(id);
            }
            this.jobs.get(id)!.isAccepted = true;
            this.checker.accepted.add(id);
            this.schedule(this.random.between(100, 4_000), () => this.call(id, { kind: "read" }));
        } else if (answer.kind === "cancelled") {
            this.checker.cancellations.recordAcknowledgement(id);
        } else if (answer.kind === "state") {
            this.checkCancelledState(id, answer.state!);
            this.checker.onStateReturned(id, answer.state!);
            if (answer.state === "running" || answer.state === "queued") {
                this.schedule(this.random.between(300, 3_000), () => this.call(id, { kind: "read" }));
            }
        } else if (answer.kind === "no-job" && (request === "read" || request === "cancel")) {
            this.checker.onNotFound(id);
        }
    }

    // Faults

    private createInjector(): TrialInjector {
        const { plan, timeline: schedule, checker, nodes, workers, store, reads, trace } = this;
        // With colocated tasks the faults do not depend on what becomes of the tasks.
        const random = plan.colocation === undefined ? this.random : Random.create(plan.seed);
        const context = { plan, random, schedule, checker, nodes, workers, store, reads, trace };
        return TrialInjector.create(context, new JobTrialNodeHost(this));
    }

    /** Tells an instance to stop; it starts again when it has stopped, or is killed at the end of its grace period. */
    stop(node: TrialNode): void {
        const { incarnation } = node;
        this.post(node, incarnation, { kind: "stop" });
        const { graceMs } = this.plan;
        if (graceMs !== undefined && node.instance !== undefined) {
            this.schedule(graceMs, () => node.incarnation === incarnation && this.kill(node));
        }
    }

    /** Kills an instance, which starts again later. @param downMs How much later, in ms; a short random time if undefined. */
    kill(node: TrialNode, downMs = this.random.between(300, MAX_DOWN_MS)): void {
        node.connections?.close();
        node.instance = undefined;
        node.frozenUntil = 0;
        node.incarnation += 1;
        this.schedule(downMs, () => this.startNode(node));
    }

    /** Suspends an instance. @param durationMs Duration in ms. */
    freeze(node: TrialNode, durationMs: number): void {
        if (this.now < node.frozenUntil || node.instance === undefined) {
            return;
        }
        const { incarnation } = node;
        node.frozenUntil = this.now + durationMs;
        this.schedule(durationMs, () => {
            if (node.incarnation === incarnation) {
                node.frozenMs += durationMs;
                const { deferred } = node;
                node.deferred = [];
                deferred.forEach(post => post());
            }
        });
    }

    private checkFinished(): void {
        this.checker.lastingTasks.finish();
        for (const id of this.checker.accepted) {
            const state = this.jobState(id);
            const isLasting = this.checker.lastingTasks.hasJob(id) && state === "running";
            const mayRunOn = isLasting || this.colocation?.mayRunOn(id) === true;
            const isFinished = FINAL_STATES.includes(state) || mayRunOn;
            this.checker.check("finished", isFinished, `${id} is ${state} at the end`);
            this.checkCancelledState(id, state);
            this.checker.onStateReturned(id, state);
        }
    }

    private checkCancelledState(id: string, state: string): void {
        const holds = state !== "cancelled" || this.cancellations.isRequested(id);
        this.checker.check("shown-done", holds, `${id} is reported as cancelled, but nobody has cancelled it`);
    }

    private jobState(id: string): string {
        const node = this.nodes.find(each => each.instance !== undefined)!;
        return node.instance!.stateOfJob(id) ?? "unknown";
    }
}

class JobTrialNodeHost extends TrialNodeHost {
    constructor(private readonly trial: JobTrial) {
        super();
    }

    override kill(node: TrialNode, downMs?: number): void {
        this.trial.kill(node, downMs);
    }

    override freeze(node: TrialNode, durationMs: number): void {
        this.trial.freeze(node, durationMs);
    }

    override stop(node: TrialNode): void {
        this.trial.stop(node);
    }
}
