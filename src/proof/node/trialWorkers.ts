import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { OrderOutcome, RunList } from "../../dispatch/common/workers/workerMessages";
import { JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { KeyedLog } from "../../standin/common/keyedLog";
import { LeasedWorker, RunPlan, RunPlanner } from "../../standin/common/leasedWorker";
import { JobRuleChecker } from "./jobRuleChecker";
import {
    CALL_TIMEOUTS_MS,
    checksWaits,
    createWorkerEntry,
    MAX_RUN_MS,
    MIN_RUN_MS,
    encodePlatformEntry,
    executeOrder,
    JobTrialPlan,
    runPlannerOf,
    simulateRun,
} from "./jobTrialPlan";
import { OddEntryWriter } from "./oddEntryWriter";
import { Random } from "./random";
import { SlowWorkers } from "./slowWorkers";
import { TrialColocation } from "./trialColocation";
import { OrderSink, SentOrder } from "./trialConnections";
import { DrainHost } from "./trialDrains";
import { TrialLinks } from "./trialLinks";
import { TrialSchedule } from "./trialSchedule";
import { CrashFault, WorkerCrashes } from "./workerCrashes";

const HEARTBEAT_INTERVAL_MS = 1_500;

/** Time from the start of a deadly task to the crash of its worker, in ms, if the plan has none. */
const DEFAULT_CRASH_DELAY_MS = 10;

/** Time for which a worker is down after a deadly task has crashed it, in ms. */
const DOWN_MS = 3_000;

/** Time for which half of the workers are down, in ms. */
const HALF_DOWN_MS = 2_000;

/** Share of the workers that a failure domain takes with it, and the time for which they are down, in ms: longer than a lease. */
const DOMAIN_RATIO = 0.3;
const DOMAIN_DOWN_MS = 10_000;

/** Number of workers that are added, relative to the number of workers before. */
const ADDED_RATIO = 0.9;

/** Bounds of the CPU of a worker whose capacity has shrunk, in thousandths of a core; the largest task fits. */
const SHRUNK_CPU_MILLIS = { min: 6_000, max: 12_000 };

/** Bounds of the time until its capacity grows again, in ms; a shrink counts after 5.5 s. */
const SHRUNK_MS = { min: 6_000, max: 15_000 };

/** Interval at which workers that run tasks side by side are reviewed, in ms. */
const REVIEW_INTERVAL_MS = 50;

/** Work of a best-effort task from one checkpoint to the next, in ms. */
const CHECKPOINT_INTERVAL_MS = 500;

/** How much longer best-effort tasks are than others. */
const BEST_EFFORT_WORK_RATIO = 3;

/** What the workers share with the rest of the trial. */
export interface TrialWorkersContext {
    readonly plan: JobTrialPlan;
    readonly random: Random;
    readonly schedule: TrialSchedule;
    readonly checker: JobRuleChecker;
    /** The stream of service discovery. */
    readonly registry: KeyedLog;
    /** Lines of the trace. */
    readonly trace: string[];
    /** How tasks that share a worker influence each other, if the plan has such tasks. */
    readonly colocation: TrialColocation | undefined;
}

/** The workers of a trial, their entries in service discovery, the links to them and the faults injected into them. */
export class TrialWorkers {
    private readonly workers: LeasedWorker[] = [];
    /** Workers that have crashed and are not back yet. */
    private readonly down = new Set<LeasedWorker>();
    private readonly links: TrialLinks;
    /** Draws for changes of capacity, which leave the other draws of a seed as they are. */
    private readonly shrinkRandom: Random;
    private readonly slowWorkers: SlowWorkers;
    private readonly crashes: WorkerCrashes;
    private lateOrdersUntil = 0;
    private replacementCount = 0;
    private downCount = 0;

    private constructor(private readonly context: TrialWorkersContext) {
        this.links = TrialLinks.create(context.schedule);
        this.shrinkRandom = Random.create(context.plan.seed);
        this.slowWorkers = SlowWorkers.create(context.plan.seed, context.schedule, context.trace);
        this.crashes = WorkerCrashes.create(context.plan.seed);
    }

    /** @param context What they share with the rest of the trial. @returns The workers of the plan, all running. */
    static create(context: TrialWorkersContext): TrialWorkers {
        const workers = new TrialWorkers(context);
        for (let index = 0; index < context.plan.workers; index++) {
            workers.add(index, `w${index}`);
        }
        workers.planShrink();
        if (context.colocation !== undefined || checksWaits(context.plan)) {
            workers.reviewColocation();
        }
        if (context.plan.lasting?.isReviewed === true) {
            workers.reviewLastingTasks();
        }
        if (context.plan.oddEntryEveryMs !== undefined) {
            OddEntryWriter.create(context, context.plan.oddEntryEveryMs, () => workers.workers.map(each => each.entry));
        }
        return workers;
    }

    private get now(): number {
        return this.context.schedule.now;
    }

    private get crashDelayMs(): number {
        return this.context.plan.crashDelayMs ?? DEFAULT_CRASH_DELAY_MS;
    }

    /** Crashes a worker, which is back at once under the same id. @param index Number of the worker. */
    restart(index: number): void {
        const worker = this.workers[index];
        if (!this.down.has(worker)) {
            this.crash(worker);
            this.add(index, worker.entry.id, worker.entry.address);
        }
    }

    /**
     * Removes a worker permanently and adds one with another name and address in its place.
     * @param index Number of the worker.
     */
    remove(index: number): void {
        const removed = this.workers[index];
        this.crash(removed);
        this.replacementCount += 1;
        this.add(index, `w${index}-${this.replacementCount}`);
        this.deregisterLater(removed.entry.id);
    }

    /** Crashes every second worker, which is back later under the same id. @returns Time for which they are down, in ms. */
    loseHalf(): number {
        const lost = this.workers.filter((worker, index) => index % 2 === 0 && !this.down.has(worker));
        lost.forEach(worker => this.takeDown(worker, worker.entry.id, HALF_DOWN_MS));
        return HALF_DOWN_MS;
    }

    /** Crashes random workers, which are back later under the same id. @returns Time for which the last one is down, in ms. */
    crashSome(fault: CrashFault): number {
        const crashed = this.crashes.draw(
            fault,
            this.workers.filter(each => !this.down.has(each)),
        );
        for (const { worker, downMs } of crashed) {
            this.context.trace.push(`${Math.round(this.now)} FAULT crash ${worker.entry.id} ${downMs}`);
            this.takeDown(worker, worker.entry.id, downMs);
        }
        return Math.max(0, ...crashed.map(each => each.downMs));
    }

    /** Loses a third of the workers of the first rack permanently. */
    loseThird(): void {
        const [{ rack }] = this.workers.map(each => each.entry);
        const ofRack = this.workers.filter(each => each.entry.rack === rack && !this.down.has(each));
        for (const worker of ofRack.slice(0, Math.ceil(ofRack.length / 3))) {
            this.crash(worker);
            this.down.add(worker);
            this.deregisterLater(worker.entry.id);
        }
    }

    /** Crashes three in ten workers, which are back later as new ones. @returns Time for which they are down, in ms. */
    loseDomain(): number {
        const isLost = (index: number) => Math.floor((index + 1) * DOMAIN_RATIO) > Math.floor(index * DOMAIN_RATIO);
        const lost = this.workers.filter((worker, index) => isLost(index) && !this.down.has(worker));
        for (const worker of lost) {
            this.deregisterLater(worker.entry.id);
            this.takeDown(worker, `${worker.entry.id}-b`, DOMAIN_DOWN_MS);
        }
        return DOMAIN_DOWN_MS;
    }

    /** Nearly doubles the number of workers. */
    addMore(): void {
        const count = Math.round(this.workers.length * ADDED_RATIO);
        for (let added = 0; added < count; added++) {
            this.add(this.workers.length, `w${this.workers.length}`);
        }
    }

    /** Adds half as many workers, all in the last rack. */
    addToLastRack(): void {
        const lastRackPlace = 1;
        const count = Math.round(this.workers.length / 2);
        for (let added = 0; added < count; added++) {
            const id = `w${this.workers.length}`;
            this.add(this.workers.length, id, id, lastRackPlace);
        }
    }

    /** @param killLeader Kills the leader. @returns Lets workers leave; half of them always stay. */
    drainHost(killLeader: () => void): DrainHost {
        const candidates = () => {
            const staying = [...this.workers.keys()].filter(index => this.workers[index].entry.state === "ready");
            return staying.length > this.workers.length / 2 ? staying : [];
        };
        return {
            get candidates() {
                return candidates();
            },
            announceDrain: (index, leftMs) => this.announceDrain(index, leftMs),
            killLeader,
        };
    }

    /** Cuts a worker off from the network. @param index Number of the worker. @param durationMs Duration in ms. */
    cut(index: number, durationMs: number): void {
        this.links.cut(this.workers[index].entry.id, durationMs);
    }

    /**
     * Splits the network.
     * @param host Name of a host.
     * @param indices Numbers of the workers that only it reaches; it reaches no others.
     * @param durationMs Duration in ms.
     */
    split(host: string, indices: readonly number[], durationMs: number): void {
        const workers = indices.map(index => this.workers[index].entry.id);
        this.links.split(host, workers, durationMs);
        this.context.trace.push(`${Math.round(this.now)} FAULT split ${host} ${workers.join(" ")} ${durationMs}`);
    }

    /** Slows down the link to a worker. @param index Number of the worker. @param durationMs Duration in ms. */
    slowDownLink(index: number, durationMs: number): void {
        this.links.slowDown(this.workers[index].entry.id, durationMs);
    }

    /** Lets some workers work several times slower. @param durationMs Duration in ms. */
    slowDown(durationMs: number): void {
        this.slowWorkers.slowDown(this.workers, durationMs);
    }

    /** Lets the workers execute some orders late. @param durationMs Duration in ms. */
    delayOrders(durationMs: number): void {
        this.lateOrdersUntil = this.now + durationMs;
    }

    /** @param sender Incarnation of an instance. @returns What sends its orders. */
    sinkOf(sender: string): OrderSink {
        return { call: (effect, sentAt, onAnswer) => this.call({ effect, sender }, sentAt, onAnswer) };
    }

    /** Number of the worker with the most runs of those that are not cut off. */
    get busiest(): number {
        const counts = this.workers.map(each =>
            this.links.isCut(each.entry.id) ? -1 : each.listRuns(this.now).length,
        );
        return counts.indexOf(Math.max(...counts));
    }

    /**
     * Sends an order to a worker.
     * @param sent The order.
     * @param sentAt Time (ms) of the sender's clock.
     * @param onAnswer Called once with the answer.
     */
    private call(sent: SentOrder, sentAt: number, onAnswer: (event: JobInstanceEvent) => void): void {
        const { effect } = sent;
        const { random, schedule } = this.context;
        const { id } = effect.worker;
        const isOrderLate = effect.kind !== "list" && this.now < this.lateOrdersUntil && random.chance(0.3);
        const isSlow = this.links.isSlow(id);
        const linkDelayMs = () => (isSlow ? random.between(100, 900) : random.between(1, 20));
        let isAnswered = false;
        const reply = (outcome: OrderOutcome, list?: RunList) => {
            const clockMs = outcome === "no-answer" ? undefined : this.find(id)?.clock(this.now);
            const answer = { worker: id, sentAt, outcome, clockMs, order: effect.order, list };
            schedule.add(outcome === "no-answer" ? 1 : linkDelayMs(), () => {
                if (!isAnswered) {
                    isAnswered = true;
                    onAnswer({ kind: `${effect.kind}-answer`, ...answer } as JobInstanceEvent);
                }
            });
        };
        const waitMs = effect.kind === "list" ? effect.order.waitMs : 0;
        schedule.add(waitMs + CALL_TIMEOUTS_MS.worker, () => isSlow && reply("no-answer"));
        // A crash also closes the connection of a call in transit, so the worker is looked up when the call is sent.
        const recipient = this.find(id);
        if (isOrderLate || this.links.isBroken(sent.sender, id)) {
            schedule.add(CALL_TIMEOUTS_MS.worker, () => reply("no-answer"));
            if (isOrderLate) {
                this.executeLate(recipient, sent);
            }
            return;
        }
        schedule.add(linkDelayMs(), () => this.deliver(sent, recipient, this.now + waitMs, reply));
    }

    /** The worker has received the order but executes it late; a crash in between discards the order. */
    private executeLate(worker: LeasedWorker | undefined, sent: SentOrder): void {
        this.context.schedule.add(this.context.random.between(2_000, 6_000), () => {
            if (worker !== undefined && this.find(sent.effect.worker.id) === worker) {
                this.execute(worker, sent);
            }
        });
    }

    private deliver(
        sent: SentOrder,
        worker: LeasedWorker | undefined,
        deadline: number,
        reply: (outcome: OrderOutcome, list?: RunList) => void,
        earlierOutcome?: OrderOutcome,
    ): void {
        const { schedule } = this.context;
        const { effect } = sent;
        const { id } = effect.worker;
        // A crash closes the connections of waiting calls.
        if (worker === undefined || this.links.isBroken(sent.sender, id) || this.find(id) !== worker) {
            const refusal = worker === undefined ? this.refusalAt(effect.worker) : undefined;
            if (refusal !== undefined) {
                reply(refusal);
            } else {
                schedule.add(CALL_TIMEOUTS_MS.worker, () => reply("no-answer"));
            }
            return;
        }
        worker.endDueRuns(this.now);
        // A list order waits for ends; its fence, lease and confirmation of recorded ends apply once, on arrival.
        const outcome = earlierOutcome ?? this.execute(worker, sent);
        const isWaiting =
            effect.kind === "list" && outcome === "done" && worker.ends.length === 0 && this.now < deadline;
        if (isWaiting) {
            schedule.add(20, () => this.deliver(sent, worker, deadline, reply, outcome));
            return;
        }
        const list = {
            incarnation: worker.entry.incarnation,
            running: worker.listRuns(this.now),
            ended: [...worker.ends],
        };
        reply(outcome, effect.kind === "list" && outcome === "done" ? list : undefined);
    }

    /**
     * @param recipient Worker that a call names, which was not there when it was sent.
     * @returns Outcome of the call, or `undefined` if nothing answers at the address.
     */
    private refusalAt({ id, address }: WorkerEntry): OrderOutcome | undefined {
        const worker = this.workers.find(each => each.entry.address === address);
        if (worker === undefined || this.links.isCut(worker.entry.id)) {
            return undefined;
        }
        // The connection of a call was refused even if the worker is back under its id when the caller learns it. Trials without a
        // CrashFault play as before.
        return this.down.has(worker) || this.crashes.isBack(id, worker) ? "unreachable" : "other-incarnation";
    }

    private execute(worker: LeasedWorker, { effect, sender }: SentOrder): OrderOutcome {
        if (this.context.plan.lasting !== undefined) {
            // A worker that is cut off ends its runs when its lease expires, although nobody asks for them.
            this.workers.forEach(each => each.endDueRuns(this.now));
        }
        const outcome = executeOrder(worker, effect, this.now);
        if (outcome !== "fenced") {
            this.context.checker.fences.recordAccepted(worker, sender, effect);
        }
        if (effect.kind === "start" && outcome === "done" && this.context.checker.isDeadly(effect.order.task)) {
            const { task, run } = effect.order;
            this.context.schedule.add(this.crashDelayMs, () => this.crashUnder(task, run, worker));
        }
        return outcome;
    }

    /** Crashes a worker under a deadly task; every second one comes back under a new id. */
    private crashUnder(task: string, run: number, worker: LeasedWorker): void {
        const index = this.workers.indexOf(worker);
        const isAtWork = worker.listRuns(this.now).some(each => each.task === task && each.run === run);
        if (index < 0 || this.down.has(worker) || !isAtWork) {
            return;
        }
        const { id, address } = worker.entry;
        this.context.trace.push(`${Math.round(this.now)} FAULT deadly-task ${id} ${task}`);
        this.downCount += 1;
        const newId = this.downCount % 2 === 0 ? `${address}-r${this.downCount}` : id;
        if (newId !== id) {
            this.deregisterLater(id);
        }
        this.takeDown(worker, newId, DOWN_MS);
    }

    /** Crashes a worker, which is back later under an id. */
    private takeDown(worker: LeasedWorker, newId: string, durationMs: number): void {
        const index = this.workers.indexOf(worker);
        this.crash(worker);
        this.down.add(worker);
        this.context.schedule.add(durationMs, () => {
            this.down.delete(worker);
            if (this.workers[index] === worker) {
                this.add(index, newId, worker.entry.address);
            }
        });
    }

    /** Ends runs whose leases have expired although nobody asks for them. */
    private reviewLastingTasks(): void {
        this.workers.forEach(each => each.endDueRuns(this.now));
        this.context.checker.reviewLastingTasks();
        this.context.schedule.add(REVIEW_INTERVAL_MS, () => this.reviewLastingTasks());
    }

    private reviewColocation(): void {
        const working = this.workers.filter(each => !this.down.has(each));
        working.forEach(worker => worker.endDueRuns(this.now));
        this.context.checker.reviewColocation(working);
        this.context.schedule.add(REVIEW_INTERVAL_MS, () => this.reviewColocation());
    }

    private planShrink(): void {
        const { shrinkEveryMs, lengthMs } = this.context.plan;
        if (shrinkEveryMs !== undefined && this.now <= lengthMs) {
            this.context.schedule.add(this.shrinkRandom.between(1, 2 * shrinkEveryMs), () => {
                this.shrinkOne();
                this.planShrink();
            });
        }
    }

    /** Shrinks the capacity of a worker for some time, unless it is shrunk already. The next heartbeat shows it. */
    private shrinkOne(): void {
        const worker = this.workers[this.shrinkRandom.between(0, this.workers.length - 1)];
        const cpuMillis = this.shrinkRandom.between(SHRUNK_CPU_MILLIS.min, SHRUNK_CPU_MILLIS.max);
        const durationMs = this.shrinkRandom.between(SHRUNK_MS.min, SHRUNK_MS.max);
        const { id, capacity } = worker.entry;
        if (capacity.cpuMillis <= SHRUNK_CPU_MILLIS.max) {
            return;
        }
        this.context.checker.recordShrink(worker);
        worker.setCapacity({ ...capacity, cpuMillis });
        this.context.trace.push(`${Math.round(this.now)} FAULT shrink ${id} ${cpuMillis} ${durationMs}`);
        this.context.schedule.add(durationMs, () => {
            worker.setCapacity(capacity);
            this.context.trace.push(`${Math.round(this.now)} FAULT grow ${id} ${capacity.cpuMillis}`);
        });
    }

    /** Lets a worker announce that it leaves, serve until then, and leave; another one comes in its place. */
    private announceDrain(index: number, leftMs: number): void {
        const worker = this.workers[index];
        worker.announceDrain(leftMs);
        this.context.trace.push(`${Math.round(this.now)} FAULT drain ${worker.entry.id} ${leftMs}`);
        this.writeEntry(worker);
        this.context.schedule.add(leftMs, () => {
            if (this.workers[index] === worker) {
                this.remove(index);
            }
        });
    }

    private crash(worker: LeasedWorker): void {
        this.context.checker.recordCrash(worker);
        worker.crash();
    }

    /** @param place Decides its rack and its failure domain. */
    private add(index: number, id: string, address = id, place = index): void {
        const startedAt = Math.round(this.now);
        const entry = createWorkerEntry(place, id, startedAt, address);
        const rate = 1 - (this.context.plan.seed % 2 === 0 ? 0 : 0.02);
        const planRun: RunPlanner = (task, run) => this.planRun(task, run);
        const { checker, plan, colocation } = this.context;
        const { longestLeaseMs } = plan;
        const worker = LeasedWorker.create(entry, startedAt, rate, planRun, checker, colocation, longestLeaseMs);
        this.workers[index] = worker;
        this.sendHeartbeat(this.workers[index], index);
    }

    private planRun(task: string, run: number): RunPlan {
        const step = this.context.colocation?.stepOf(task);
        if (step?.mode === "long-running") {
            return { ms: Number.POSITIVE_INFINITY, end: "done" };
        }
        if (step?.checkpoints === true) {
            // The work of all runs is the same, since each continues that of the one before.
            return {
                ms: this.bestEffortWorkMs(task),
                end: simulateRun(task, run).end,
                checkpointMs: CHECKPOINT_INTERVAL_MS,
            };
        }
        return this.planExclusiveRun(task, run);
    }

    private bestEffortWorkMs(task: string): number {
        const { ms } = simulateRun(task, 0);
        const bounds = this.context.plan.colocation?.workMs;
        return bounds === undefined
            ? BEST_EFFORT_WORK_RATIO * ms
            : bounds.min + (bounds.max - bounds.min) * ((ms - MIN_RUN_MS) / (MAX_RUN_MS - MIN_RUN_MS));
    }

    /** A deadly task is still at work when it crashes its worker. */
    private planExclusiveRun(task: string, run: number): RunPlan {
        if (this.context.checker.lastingTasks.has(task)) {
            return { ms: this.context.plan.lasting?.runMs ?? Number.POSITIVE_INFINITY, end: "done" };
        }
        const { ms, end } = runPlannerOf(this.context.plan)(task, run);
        const isDeadly = this.context.checker.isDeadly(task);
        return { ms: isDeadly ? Math.max(ms, 2 * this.crashDelayMs) : ms, end };
    }

    private deregisterLater(id: string): void {
        this.context.schedule.add(3 * HEARTBEAT_INTERVAL_MS, () => this.context.registry.store(id, undefined));
    }

    private sendHeartbeat(worker: LeasedWorker, index: number): void {
        if (this.workers[index] !== worker || this.down.has(worker)) {
            return;
        }
        this.writeEntry(worker);
        worker.endDueRuns(this.now);
        this.context.schedule.add(HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeat(worker, index));
    }

    private writeEntry(worker: LeasedWorker): void {
        if (!this.links.isCut(worker.entry.id) && !this.down.has(worker)) {
            const isOfPlatform = this.context.plan.oddEntryEveryMs !== undefined;
            const encode = isOfPlatform ? encodePlatformEntry : JSON.stringify;
            this.context.registry.store(worker.entry.id, encode(worker.entry));
            this.context.checker.drains.recordEntry(worker);
        }
    }

    private find(id: string): LeasedWorker | undefined {
        return this.workers.find(each => each.entry.id === id && !this.down.has(each));
    }
}
