import { Err } from "ts-results";
import { OrderOutcome, RunList, WorkerEffect } from "../../dispatch/common/workerMessages";
import { JobInstance } from "../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { JobDraft } from "../../jobs/common/jobCall";
import { StreamName } from "../../records/common/recordStore";
import { RecordEffect } from "../../records/common/recordEvents";
import { KeyedLog } from "../../standin/common/keyedLog";
import { LeasedWorker } from "../../standin/common/leasedWorker";
import {
    executeOrder,
    createDraft,
    createWorkerEntry,
    simulateRun,
    FAULTS,
    JobFault,
    JobTrialPlan,
    JobTrialResult,
    QUEUE,
    LIMITS,
    CALL_TIMEOUTS_MS,
    TrialDecoder,
} from "./jobTrialPlan";
import { ScheduledAction, TrialNode } from "./jobTrialNode";
import { JobRuleChecker } from "./jobRuleChecker";
import { Random } from "./random";

const TICK_INTERVAL_MS = 25;
const HEARTBEAT_INTERVAL_MS = 1_500;
/**
 * Time after the last fault within which all jobs must end, in ms. The leases of lost leaders and workers can expire
 * twice in this time.
 */
const RECOVERY_TIMEOUT_MS = 60_000;

/** Runs whole instances on a virtual clock against an in-memory store and workers, and injects random faults. */
export class JobTrial {
    private readonly random: Random;
    private readonly checker = JobRuleChecker.create();
    private readonly streams: Record<StreamName, KeyedLog> = {
        jobs: KeyedLog.create(),
        progress: KeyedLog.create(),
        operator: KeyedLog.create(),
        workers: KeyedLog.create(),
    };
    private readonly nodes: TrialNode[] = [];
    private readonly workers: LeasedWorker[] = [];
    /** Time (ms) until which a worker is cut off from the network, by worker id. */
    private readonly workerCutUntil = new Map<string, number>();
    /** Time (ms) until which the link to a worker takes 100 to 900 ms in each direction, by worker id. */
    private readonly slowLinkUntil = new Map<string, number>();
    private readonly jobs = new Map<string, { draft: JobDraft; isAccepted: boolean }>();
    /** Lines of the trace. */
    private readonly trace: string[] = [];
    private scheduledActions: ScheduledAction[] = [];
    private lastSequence = 0;
    private lastCallNumber = 0;
    /** How often an instance became leader. */
    private leaders = 0;
    private replacementCount = 0;
    private storeDownUntil = 0;
    private lostAnswersUntil = 0;
    private lateOrdersUntil = 0;

    private constructor(private readonly plan: JobTrialPlan) {
        this.random = Random.create(plan.seed);
    }

    /** @param plan Parameters of the trial. @returns The result, which is the same for the same plan. */
    static run(plan: JobTrialPlan): JobTrialResult {
        return new JobTrial(plan).run();
    }

    private get now(): number {
        return this.checker.now;
    }

    private run(): JobTrialResult {
        this.streams.operator.store("config", "{}");
        for (let index = 0; index < this.plan.workers; index++) {
            this.addWorker(index, 0);
        }
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
        this.schedule(2_000, () => this.submitNext());
        if (this.plan.faultEveryMs > 0) {
            this.schedule(3_000, () => this.injectNext());
        }
        this.runUntil(this.plan.lengthMs + RECOVERY_TIMEOUT_MS);
        this.checkFinished();
        const accepted = this.checker.accepted.size;
        const finished = [...this.checker.accepted].filter(id => this.jobState(id) === "done").length;
        const { violations: breaches, starts } = this.checker;
        return { breaches, jobs: this.jobs.size, accepted, finished, starts, leaders: this.leaders, trace: this.trace };
    }

    private runUntil(endMs: number): void {
        while (this.scheduledActions.length > 0) {
            this.scheduledActions.sort((a, b) => a.at - b.at || a.sequence - b.sequence);
            const next = this.scheduledActions.shift()!;
            if (next.at > endMs) {
                return;
            }
            this.checker.now = next.at;
            next.perform();
        }
    }

    private schedule(delayMs: number, perform: () => void): void {
        this.lastSequence += 1;
        this.scheduledActions.push({ at: this.now + delayMs, sequence: this.lastSequence, perform });
    }

    // Instances

    private startNode(node: TrialNode): void {
        node.incarnation += 1;
        node.frozenMs = 0;
        node.deferred = [];
        const identity = {
            instance: `n${node.index}-${node.incarnation}`,
            nonce: this.random.between(0, 1_000_000),
            storeRoundTripMs: () => 5 + node.index,
            cores: 1,
        };
        const instance = JobInstance.create(identity, LIMITS, new TrialDecoder());
        node.instance = instance;
        const { incarnation } = node;
        this.schedule(this.random.between(0, 50), () => {
            instance.start().forEach(effect => this.perform(node, incarnation, effect));
            this.tick(node, incarnation);
        });
    }

    private tick(node: TrialNode, incarnation: number): void {
        if (node.incarnation !== incarnation || node.instance === undefined) {
            return;
        }
        this.post(node, incarnation, { kind: "tick" });
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
        const wasLeading = node.instance.isLeading;
        const monotonicNow = this.now - node.frozenMs;
        const effects = node.instance.dispatch(event, monotonicNow, 1_700_000_000_000 + this.now);
        if (!wasLeading && node.instance.isLeading) {
            this.leaders += 1;
        }
        effects.forEach(effect => this.perform(node, incarnation, effect));
    }

    private perform(node: TrialNode, incarnation: number, effect: JobInstanceEffect): void {
        switch (effect.kind) {
            case "append":
            case "read":
            case "read-newest":
                this.callStore(node, incarnation, effect);
                break;
            case "start":
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
                break;
        }
    }

    // Store

    private callStore(node: TrialNode, incarnation: number, effect: RecordEffect): void {
        const sentAt = this.now - node.frozenMs;
        const log = this.streams[effect.stream];
        const postAnswer = (event: JobInstanceEvent) =>
            this.schedule(this.random.between(1, 4), () => this.post(node, incarnation, event));
        const { stream } = effect;
        if (effect.kind === "append") {
            const reply = (result: ReturnType<KeyedLog["append"]>) =>
                postAnswer({ kind: "append-answer", writer: effect.writer, sequence: effect.append.sequence, result });
            if (!this.canReachStore(node)) {
                this.schedule(CALL_TIMEOUTS_MS.store, () => reply(Err("unknown")));
            } else if (this.now < this.lostAnswersUntil && this.random.chance(0.4)) {
                const delayMs = this.random.chance(0.5) ? 1 : this.random.between(1_000, 5_000);
                this.schedule(delayMs, () => log.append(effect.append));
                this.schedule(CALL_TIMEOUTS_MS.store, () => reply(Err("unknown")));
            } else {
                this.schedule(this.random.between(1, 4), () => reply(log.append(effect.append)));
            }
            return;
        }
        const read = (deadline: number) => {
            if (!this.canReachStore(node)) {
                const unavailable = Err("unavailable" as const);
                const kind = effect.kind === "read" ? "read-answer" : "newest-answer";
                this.schedule(CALL_TIMEOUTS_MS.store, () => postAnswer({ kind, stream, sentAt, result: unavailable }));
            } else if (effect.kind === "read-newest") {
                postAnswer({ kind: "newest-answer", stream, sentAt, result: log.newest(effect.after) });
            } else if (log.end > effect.from || this.now >= deadline || !log.read(effect.from).ok) {
                postAnswer({ kind: "read-answer", stream, sentAt, result: log.read(effect.from) });
            } else {
                this.schedule(3, () => read(deadline));
            }
        };
        this.schedule(effect.delayMs + 2, () => read(this.now + (effect.kind === "read" ? effect.waitMs : 0)));
    }

    private canReachStore(node: TrialNode): boolean {
        return this.now >= this.storeDownUntil && this.now >= node.storeCutUntil;
    }

    // Workers

    private addWorker(index: number, startedAt: number, id = `w${index}`): void {
        const entry = createWorkerEntry(index, id, startedAt);
        const rate = 1 - (this.plan.seed % 2 === 0 ? 0 : 0.02);
        this.workers[index] = LeasedWorker.create(entry, startedAt, rate, simulateRun, this.checker);
        this.sendHeartbeat(this.workers[index], index);
    }

    /** Removes a worker permanently and adds one with another name in its place. */
    private removeWorker(index: number): void {
        const removed = this.workers[index];
        removed.crash();
        this.replacementCount += 1;
        this.addWorker(index, Math.round(this.now), `w${index}-${this.replacementCount}`);
        this.schedule(3 * HEARTBEAT_INTERVAL_MS, () => this.streams.workers.store(removed.entry.id, undefined));
    }

    private sendHeartbeat(worker: LeasedWorker, index: number): void {
        if (this.workers[index] !== worker) {
            return;
        }
        if (this.now >= (this.workerCutUntil.get(worker.entry.id) ?? 0)) {
            this.streams.workers.store(worker.entry.id, JSON.stringify(worker.entry));
        }
        worker.endDueRuns(this.now);
        this.schedule(HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeat(worker, index));
    }

    private callWorker(node: TrialNode, incarnation: number, effect: WorkerEffect): void {
        const sentAt = this.now - node.frozenMs;
        const { id } = effect.worker;
        const isOrderLate = effect.kind !== "list" && this.now < this.lateOrdersUntil && this.random.chance(0.3);
        const findWorker = () => this.workers.find(each => each.entry.id === id);
        const isCut = () => this.now < (this.workerCutUntil.get(id) ?? 0);
        const isSlow = this.now < (this.slowLinkUntil.get(id) ?? 0);
        const linkDelayMs = () => (isSlow ? this.random.between(100, 900) : this.random.between(1, 20));
        let isAnswered = false;
        const reply = (outcome: OrderOutcome, list?: RunList) => {
            const clockMs = outcome === "no-answer" ? undefined : findWorker()?.clock(this.now);
            const answer = { worker: id, sentAt, outcome, clockMs, order: effect.order, list };
            this.schedule(outcome === "no-answer" ? 1 : linkDelayMs(), () => {
                if (!isAnswered) {
                    isAnswered = true;
                    this.post(node, incarnation, { kind: `${effect.kind}-answer`, ...answer } as JobInstanceEvent);
                }
            });
        };
        const waitMs = effect.kind === "list" ? effect.order.waitMs : 0;
        this.schedule(waitMs + CALL_TIMEOUTS_MS.worker, () => isSlow && reply("no-answer"));
        if (isOrderLate || isCut()) {
            this.schedule(CALL_TIMEOUTS_MS.worker, () => reply("no-answer"));
            if (isOrderLate) {
                // The worker has received the order but executes it late; a crash in between discards the order.
                const worker = findWorker();
                this.schedule(this.random.between(2_000, 6_000), () => {
                    if (worker !== undefined && findWorker() === worker) {
                        executeOrder(worker, effect, this.now);
                    }
                });
            }
            return;
        }
        let outcome: OrderOutcome | undefined;
        const deliver = (deadline: number, worker: LeasedWorker | undefined) => {
            // A crash closes the connections of waiting calls.
            if (worker === undefined || isCut() || findWorker() !== worker) {
                this.schedule(CALL_TIMEOUTS_MS.worker, () => reply("no-answer"));
                return;
            }
            worker.endDueRuns(this.now);
            // A list order waits for ends; its fence, lease and confirmation of recorded ends apply once, on arrival.
            outcome ??= executeOrder(worker, effect, this.now);
            const isWaiting =
                effect.kind === "list" && outcome === "done" && worker.ends.length === 0 && this.now < deadline;
            if (isWaiting) {
                this.schedule(20, () => deliver(deadline, worker));
                return;
            }
            const list = {
                incarnation: worker.entry.incarnation,
                running: worker.listRuns(this.now),
                ended: [...worker.ends],
            };
            reply(outcome, effect.kind === "list" && outcome === "done" ? list : undefined);
        };
        // A crash also closes the connection of a call in transit, so the worker is looked up when the call is sent.
        const recipient = findWorker();
        this.schedule(linkDelayMs(), () => deliver(this.now + waitMs, recipient));
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
        const draft = createDraft(this.random);
        this.jobs.set(id, { draft, isAccepted: false });
        this.checker.recordSubmission({ id, queue: QUEUE, acceptedAtMs: 0, ...draft });
        this.submit(id, 5);
        this.schedule(this.random.between(50, 500), () => this.submitNext());
    }

    private submit(id: string, attemptsLeft: number): void {
        const job = this.jobs.get(id)!;
        if (job.isAccepted || attemptsLeft === 0) {
            return;
        }
        this.call(id, { kind: "submit", draft: job.draft });
        this.schedule(3_200, () => this.submit(id, attemptsLeft - 1));
    }

    private call(id: string, request: { kind: "submit"; draft: JobDraft } | { kind: "read" }): void {
        const running = this.nodes.filter(each => each.instance !== undefined && this.now >= each.frozenUntil);
        if (running.length === 0) {
            return;
        }
        const node = this.random.pick(running);
        this.lastCallNumber += 1;
        const path = `${QUEUE.prefix}${id}`;
        const call = { number: this.lastCallNumber, host: QUEUE.host, path, callerTimeoutMs: 3_000, request };
        this.post(node, node.incarnation, { kind: "call", call });
    }

    private onAnswer(id: string, request: string, answer: { kind: string; state?: string }): void {
        if (answer.kind === "accepted") {
            this.jobs.get(id)!.isAccepted = true;
            this.checker.accepted.add(id);
            this.schedule(this.random.between(100, 4_000), () => this.call(id, { kind: "read" }));
        } else if (answer.kind === "state") {
            this.checker.onStateReturned(id, answer.state!);
            if (answer.state === "running" || answer.state === "queued") {
                this.schedule(this.random.between(300, 3_000), () => this.call(id, { kind: "read" }));
            }
        } else if (answer.kind === "no-job" && request === "read") {
            this.checker.onNotFound(id);
        }
    }

    // Faults

    private injectNext(): void {
        if (this.now > this.plan.lengthMs) {
            return;
        }
        this.inject(this.random.pick(this.plan.faults ?? FAULTS));
        this.schedule(this.random.between(1, this.plan.faultEveryMs * 2), () => this.injectNext());
    }

    private inject(fault: JobFault): void {
        const leader = this.nodes.find(each => each.instance?.isLeading === true);
        const node = leader !== undefined && this.random.chance(0.6) ? leader : this.random.pick(this.nodes);
        const worker = this.random.between(0, this.plan.workers - 1);
        const durationMs = this.random.between(500, 6_000);
        this.trace.push(`${Math.round(this.now)} FAULT ${fault} n${node.index} w${worker} ${durationMs}`);
        switch (fault) {
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
                this.storeDownUntil = this.now + durationMs;
                break;
            case "lost-answers":
                this.lostAnswersUntil = this.now + durationMs;
                break;
            case "worker-crash":
                this.workers[worker].crash();
                this.addWorker(worker, Math.round(this.now), this.workers[worker].entry.id);
                break;
            case "worker-gone":
                this.removeWorker(worker);
                break;
            case "worker-cut":
                this.workerCutUntil.set(this.workers[worker].entry.id, this.now + durationMs);
                break;
            case "slow-link":
                this.slowLinkUntil.set(this.workers[worker].entry.id, this.now + 3 * durationMs);
                break;
            case "late-orders":
                this.lateOrdersUntil = this.now + durationMs;
                break;
            case "expire":
                Object.values(this.streams).forEach(log => log.expire());
                break;
        }
    }

    private kill(node: TrialNode): void {
        node.instance = undefined;
        node.frozenUntil = 0;
        node.incarnation += 1;
        this.schedule(this.random.between(300, 1_500), () => this.startNode(node));
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
        for (const id of this.checker.accepted) {
            const state = this.jobState(id);
            this.checker.check("finished", state === "done" || state === "failed", `${id} is ${state} at the end`);
        }
    }

    private jobState(id: string): string {
        const node = this.nodes.find(each => each.instance !== undefined)!;
        return node.instance!.stateOfJob(id) ?? "unknown";
    }
}
