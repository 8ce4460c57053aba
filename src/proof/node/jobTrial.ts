import { WorkerEffect } from "../../dispatch/common/workerMessages";
import { JobInstance } from "../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { JobDraft, JobRequest } from "../../jobs/common/jobCall";
import {
    createDraft,
    createLastingDraft,
    deadlyTaskOf,
    FAULTS,
    FAULTS_OF_WORKERS,
    JobFault,
    JobTrialPlan,
    JobTrialResult,
    PlannedFault,
    QUEUE,
    LIMITS,
    submitDelayMs,
    TrialDecoder,
} from "./jobTrialPlan";
import { TrialNode } from "./jobTrialNode";
import { JobRuleChecker } from "./jobRuleChecker";
import { Random } from "./random";
import { TrialCancellations } from "./trialCancellations";
import { TrialColocation } from "./trialColocation";
import { TrialConnections } from "./trialConnections";
import { TrialDelays } from "./trialDelays";
import { TrialProcessor } from "./trialProcessor";
import { TrialReads } from "./trialReads";
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

/** How many times longer a fault lasts than others. */
const DURATION_RATIOS: Partial<Record<JobFault, number>> = { "slow-link": 3, "worker-slow": 2 };

/** Longest time for which an instance that was killed is down, in ms. */
const MAX_DOWN_MS = 1_500;

/** Duration of a planned freeze, in ms: long enough for another instance to become the leader. */
const PLANNED_FREEZE_MS = 3_000;

/** Runs whole instances on a virtual clock against an in-memory store and workers, and injects random faults. */
export class JobTrial {
    private readonly random: Random;
    /** Draws for the faults. With colocated tasks they do not depend on what becomes of the tasks. */
    private readonly faultRandom: Random;
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

    private readonly workers: TrialWorkers;
    private readonly colocation: TrialColocation | undefined;
    private readonly cancellations: TrialCancellations;
    private readonly reads: TrialReads;
    private readonly store: TrialStore;

    private constructor(private readonly plan: JobTrialPlan) {
        this.random = Random.create(plan.seed);
        this.checker = JobRuleChecker.create(this.timeline, plan.lasting?.maxGapMs);
        this.faultRandom = plan.colocation === undefined ? this.random : Random.create(plan.seed);
        this.reads = TrialReads.create(plan.seed, this.timeline);
        this.store = TrialStore.create(this.random, this.timeline, this.reads);
        this.cancellations = TrialCancellations.create(
            plan.seed,
            plan.cancelRatio ?? 0,
            this.timeline,
            this.checker.cancellations,
            (id, random) => this.call(id, { kind: "cancel" }, random),
        );
        this.store.streams.operator.store("config", "{}");
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
        this.plan.plannedFaults?.forEach(([atMs, fault]) => this.schedule(atMs, () => this.injectPlanned(fault)));
        if (this.plan.faultEveryMs > 0) {
            this.schedule(3_000, () => this.injectNext());
        }
        this.timeline.runUntil(this.plan.lengthMs + RECOVERY_TIMEOUT_MS);
        this.checkFinished();
        const accepted = this.checker.accepted.size;
        const finished = [...this.checker.accepted].filter(id => this.jobState(id) === "done").length;
        const { trace, leaders, jobs, delays, checker } = this;
        const { violations: breaches, starts, deadlyCrashes: crashes, sharedCrashes, shrinks } = checker;
        const counts = { jobs: jobs.size, accepted, finished, starts, leaders, ...delays.counts };
        const cancelled = checker.cancellations.count;
        return { breaches, ...counts, crashes, sharedCrashes, shrinks, cancelled, trace };
    }

    private schedule(delayMs: number, perform: () => void): void {
        this.timeline.add(delayMs, perform);
    }

    // Instances

    private startNode(node: TrialNode): void {
        node.incarnation += 1;
        node.frozenMs = 0;
        node.deferred = [];
        const { incarnation } = node;
        this.startProcessor(node, incarnation);
        const identity = {
            instance: `n${node.index}-${node.incarnation}`,
            nonce: this.random.between(0, 1_000_000),
            storeRoundTripMs: () => 5 + node.index,
            cores: 1,
            work: node.processor,
        };
        const limits = { ...LIMITS, longestLeaseMs: this.plan.longestLeaseMs ?? LIMITS.longestLeaseMs };
        const instance = JobInstance.create(identity, limits, new TrialDecoder(this.plan));
        node.instance = instance;
        this.schedule(this.random.between(0, 50), () => {
            instance.start().forEach(effect => this.perform(node, incarnation, effect));
            this.tick(node, incarnation);
        });
    }

    /** With a cost model, the work of the instance takes time and its orders wait for a connection. */
    private startProcessor(node: TrialNode, incarnation: number): void {
        const { costs } = this.plan;
        if (costs === undefined) {
            return;
        }
        const isOpen = (id: string) => !FINAL_STATES.includes(node.instance?.stateOfJob(id) ?? "");
        node.processor = TrialProcessor.create(costs, this.timeline, {
            openJobs: () => [...this.checker.accepted].filter(isOpen).length,
            dispatch: event => this.dispatch(node, incarnation, event),
            onDelay: waitedMs => node.instance?.isLeading && this.delays.record(waitedMs, this.now),
            perform: effect => node.incarnation === incarnation && this.perform(node, incarnation, effect),
        });
        node.connections?.close();
        node.connections = TrialConnections.create(costs.connections, this.timeline, this.workers);
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
                this.trace.push(`${Math.round(this.now)} n${node.index} ${effect.name} ${JSON.stringify(effect.data)}`);
                break;
            case "stopped":
                this.kill(node);
                break;
        }
    }

    private callWorker(node: TrialNode, incarnation: number, effect: WorkerEffect): void {
        const onAnswer = (event: JobInstanceEvent) => this.post(node, incarnation, event);
        (node.connections ?? this.workers).call(effect, this.now - node.frozenMs, onAnswer);
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
        this.submitFirst(id, colocated?.draft ?? createDraft(this.random));
        this.schedule(colocated?.nextInMs ?? submitDelayMs(this.plan, this.random), () => this.submitNext());
    }

    private submitLasting(): void {
        for (let index = 0; index < (this.plan.lasting?.count ?? 0); index++) {
            this.schedule(2_000, () => this.submitFirst(`1a5${index}`.padEnd(16, "0"), createLastingDraft()));
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

    private injectNext(): void {
        if (this.now > (this.plan.faultsUntilMs ?? this.plan.lengthMs)) {
            return;
        }
        this.inject(this.faultRandom.pick(this.plan.faults ?? FAULTS));
        this.schedule(this.faultRandom.between(1, this.plan.faultEveryMs * 2), () => this.injectNext());
    }

    private injectPlanned(fault: PlannedFault): void {
        const leader = this.nodes.find(each => each.instance?.isLeading === true && this.now >= each.frozenUntil);
        this.trace.push(`${Math.round(this.now)} FAULT ${fault} n${leader?.index}`);
        if (fault === "lose-worker") {
            this.workers.removeBusiest();
        } else if (leader === undefined) {
            throw new Error(`no leader at ${this.now} ms to ${fault}`);
        } else if (fault === "kill-leader") {
            this.kill(leader);
        } else if (fault === "freeze-leader") {
            this.freeze(leader, PLANNED_FREEZE_MS);
        } else {
            this.post(leader, leader.incarnation, { kind: "stop" });
        }
    }

    private inject(fault: JobFault): void {
        const leader = this.nodes.find(each => each.instance?.isLeading === true);
        const node = leader !== undefined && this.faultRandom.chance(0.6) ? leader : this.faultRandom.pick(this.nodes);
        const worker = this.faultRandom.between(0, this.plan.workers - 1);
        const durationMs = this.faultRandom.between(500, 6_000);
        this.trace.push(`${Math.round(this.now)} FAULT ${fault} n${node.index} w${worker} ${durationMs}`);
        this.recordDisruption(fault, node.index, durationMs);
        switch (fault) {
            case "slow-pages":
                this.reads.slowDown(node.index, durationMs);
                break;
            case "stalled-read":
                this.reads.stallNext(node.index);
                break;
            case "kill":
                this.kill(node);
                break;
            case "kill-all":
                this.nodes.forEach(each => this.kill(each));
                break;
            case "freeze":
                this.freeze(node, durationMs);
                break;
            case "cut-store":
                node.storeCutUntil = this.now + durationMs;
                break;
            case "store-down":
                this.store.takeDown(durationMs);
                break;
            case "lost-answers":
                this.store.loseAnswers(durationMs);
                break;
            case "worker-crash":
                this.workers.restart(worker);
                break;
            case "worker-gone":
                this.workers.remove(worker);
                break;
            case "worker-cut":
                this.workers.cut(worker, durationMs);
                break;
            case "slow-link":
                this.workers.slowDownLink(worker, DURATION_RATIOS["slow-link"]! * durationMs);
                break;
            case "worker-slow":
                this.workers.slowDown(DURATION_RATIOS["worker-slow"]! * durationMs);
                break;
            case "late-orders":
                this.workers.delayOrders(durationMs);
                break;
            case "expire":
                this.store.expire();
                break;
        }
    }

    /** A response that stalls disrupts nothing, and slow pages fill the links of instances that stay in touch. */
    private recordDisruption(fault: JobFault, index: number, durationMs: number): void {
        if (fault === "stalled-read") {
            return;
        }
        const isOfWorker = fault === "worker-slow" || FAULTS_OF_WORKERS.includes(fault);
        const isOfAll = fault === "kill-all" || fault === "store-down" || fault === "lost-answers";
        const all = this.nodes.map(each => each.index);
        const instances = isOfAll ? all : isOfWorker || fault === "slow-pages" ? [] : [index];
        const isKill = fault === "kill" || fault === "kill-all";
        const lastsMs = isKill ? MAX_DOWN_MS : (DURATION_RATIOS[fault] ?? 1) * durationMs;
        this.checker.recordDisruption(lastsMs);
        this.checker.cancellations.recordDisruption(lastsMs, instances);
    }

    private kill(node: TrialNode): void {
        node.connections?.close();
        node.instance = undefined;
        node.frozenUntil = 0;
        node.incarnation += 1;
        this.schedule(this.random.between(300, MAX_DOWN_MS), () => this.startNode(node));
    }

    private freeze(node: TrialNode, durationMs: number): void {
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
