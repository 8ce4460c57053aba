import {
    FAULTS,
    FAULTS_OF_WORKERS,
    HandoverFault,
    JobFault,
    JobTrialPlan,
    OPERATOR_READ_FAULTS,
    PlannedFault,
    PlannedOutage,
    ReadFault,
    WORKER_READ_FAULTS,
} from "./jobTrialPlan";
import { JobRuleChecker } from "./jobRuleChecker";
import { TrialNode } from "./jobTrialNode";
import { Random } from "./random";
import { TrialDrains } from "./trialDrains";
import { TrialEvacuations } from "./trialEvacuations";
import { DelayedStream, TrialReads } from "./trialReads";
import { TrialSiteRestart } from "./trialSiteRestart";
import { TrialSchedule } from "./trialSchedule";
import { TrialStore } from "./trialStore";
import { TrialWorkers } from "./trialWorkers";
import { CrashFault } from "./workerCrashes";

/** How many times longer a fault lasts than others. */
const DURATION_RATIOS: Partial<Record<JobFault, number>> = { "slow-link": 3, "worker-slow": 2 };

/** Kinds of faults of reads: responses that stall, and pages that arrive late. */
const STALLS: readonly JobFault[] = ["stalled-read", "stalled-worker-read", "stalled-operator-read"];
const SLOW_PAGES: readonly JobFault[] = ["slow-pages", "slow-worker-pages", "slow-operator-pages"];

/** Longest time for which an instance that was killed is down, in ms. */
export const MAX_DOWN_MS = 1_500;

/** Time for which the host of a leader is away that is lost with the whole site, in ms. */
const LEADER_AWAY_MS = 15_000;

/** Durations of planned outages of the store, in ms. */
const OUTAGE_MS: Readonly<Record<PlannedOutage, number>> = {
    "outage-2s": 2_000,
    "outage-6s": 6_000,
    "outage-8s": 8_000,
};

/** Time for which appends of jobs are slow, in ms. */
const SLOW_JOBS_MS = 3_000;

/** Duration of a fault that strikes a handover, in ms. */
const HANDOVER_FAULT_MS = 2_000;

/** Duration of a planned freeze, in ms: long enough for another instance to become the leader. */
const PLANNED_FREEZE_MS = 3_000;

/** The instances of a trial, into which faults are injected. */
export abstract class TrialNodeHost {
    /** Kills an instance, which starts again later. @param downMs How much later, in ms; a short random time if undefined. */
    abstract kill(node: TrialNode, downMs?: number): void;

    /** Suspends an instance. @param durationMs Duration in ms. */
    abstract freeze(node: TrialNode, durationMs: number): void;

    /** Tells an instance to stop. */
    abstract stop(node: TrialNode): void;
}

/** What the injected faults concern. */
export interface TrialInjectorContext {
    readonly plan: JobTrialPlan;
    /** Draws for the faults. */
    readonly random: Random;
    readonly schedule: TrialSchedule;
    readonly checker: JobRuleChecker;
    readonly nodes: readonly TrialNode[];
    readonly workers: TrialWorkers;
    readonly store: TrialStore;
    readonly reads: Readonly<Record<DelayedStream, TrialReads>>;
    /** Lines of the trace. */
    readonly trace: string[];
}

/** Injects the faults of a trial. */
export class TrialInjector {
    private constructor(
        private readonly context: TrialInjectorContext,
        private readonly host: TrialNodeHost,
    ) {}

    /** @param context What the faults concern. @param host The instances. @returns An injector that has injected nothing. */
    static create(context: TrialInjectorContext, host: TrialNodeHost): TrialInjector {
        return new TrialInjector(context, host);
    }

    /** Injects random faults from now on, until the plan ends them. */
    injectNext(): void {
        if (this.context.schedule.now > (this.context.plan.faultsUntilMs ?? this.context.plan.lengthMs)) {
            return;
        }
        this.inject(this.context.random.pick(this.context.plan.faults ?? FAULTS));
        this.context.schedule.add(this.context.random.between(1, this.context.plan.faultEveryMs * 2), () =>
            this.injectNext(),
        );
    }

    /** Injects a planned fault. @throws `Error` if it concerns the leader and there is none. */
    injectPlanned(fault: PlannedFault): void {
        const leader = this.context.nodes.find(
            each => each.instance?.isLeading === true && this.context.schedule.now >= each.frozenUntil,
        );
        this.context.trace.push(`${Math.round(this.context.schedule.now)} FAULT ${fault} n${leader?.index}`);
        if (fault === "lose-worker") {
            this.context.checker.recordDisruption(0);
            this.context.workers.remove(this.context.workers.busiest);
        } else if (fault === "lose-half") {
            this.context.checker.recordDisruption(this.context.workers.loseHalf());
        } else if (fault === "lose-third") {
            this.context.checker.recordDisruption(0);
            this.context.workers.loseThird();
        } else if (fault === "lose-domain") {
            this.context.checker.recordDisruption(this.context.workers.loseDomain());
        } else if (isCrash(fault)) {
            this.context.checker.recordDisruption(this.context.workers.crashSome(fault));
        } else if (fault === "add-workers") {
            this.context.workers.addMore();
        } else if (fault === "add-to-last-rack") {
            this.context.workers.addToLastRack();
        } else if (fault === "kill-all") {
            this.context.checker.recordDisruption(MAX_DOWN_MS);
            this.context.nodes.forEach(each => this.host.kill(each));
        } else if (isOutage(fault)) {
            this.context.checker.recordDisruption(OUTAGE_MS[fault]);
            this.context.store.takeDown(OUTAGE_MS[fault]);
        } else if (fault === "slow-jobs-3s") {
            this.context.checker.recordDisruption(SLOW_JOBS_MS);
            this.context.store.slowDownJobs(SLOW_JOBS_MS);
        } else if (leader === undefined) {
            throw new Error(`no leader at ${this.context.schedule.now} ms to ${fault}`);
        } else if (fault === "lose-site") {
            this.context.checker.recordDisruption(MAX_DOWN_MS);
            this.context.nodes.forEach(each => this.host.kill(each, each === leader ? LEADER_AWAY_MS : undefined));
        } else if (fault === "kill-leader") {
            this.context.checker.recordDisruption(MAX_DOWN_MS);
            this.host.kill(leader);
        } else if (fault === "freeze-leader") {
            this.host.freeze(leader, PLANNED_FREEZE_MS);
        } else {
            this.host.stop(leader);
        }
    }

    /** Strikes a handover. @param leader The leader. @param successor Name of the instance that it has just named. */
    strikeHandover(fault: HandoverFault, leader: TrialNode, successor: string): void {
        const { nodes, schedule, store, workers, checker, trace } = this.context;
        const [kind, role] = fault.split("-");
        const node = role === "successor" ? nodes.find(each => successor.startsWith(`n${each.index}-`))! : leader;
        trace.push(`${Math.round(schedule.now)} FAULT ${fault} n${node.index}`);
        checker.recordDisruption(PLANNED_FREEZE_MS);
        if (fault === "store-down") {
            store.takeDown(HANDOVER_FAULT_MS);
        } else if (fault === "lost-answers") {
            store.loseAnswers(HANDOVER_FAULT_MS);
        } else if (fault === "worker-cut") {
            workers.cut(0, HANDOVER_FAULT_MS);
        } else if (kind === "kill") {
            this.host.kill(node);
        } else if (kind === "freeze") {
            this.host.freeze(node, PLANNED_FREEZE_MS);
        } else {
            node.storeCutUntil = schedule.now + HANDOVER_FAULT_MS;
        }
    }

    /** Restarts the whole site, if the plan says so. */
    planRestart(): void {
        const { siteRestart } = this.context.plan;
        if (siteRestart !== undefined) {
            TrialSiteRestart.create(this.context, this.host, siteRestart);
        }
    }

    /** Lets workers announce that they leave, if the plan says so. */
    planDrains(): void {
        const { drains, seed, lengthMs } = this.context.plan;
        if (drains !== undefined) {
            const killLeader = () => this.killLeader();
            TrialDrains.create(
                seed,
                drains,
                lengthMs,
                this.context.schedule,
                this.context.workers.drainHost(killLeader),
            );
        }
    }

    /** Evacuates failure domains, if the plan says so. */
    planEvacuations(): void {
        const { schedule, checker, store, trace } = this.context;
        const { evacuations: plan, seed, lengthMs: untilMs } = this.context.plan;
        if (plan !== undefined) {
            const killLeader = () => this.killLeader();
            const { operator } = store.streams;
            const context = { seed, plan, untilMs, schedule, operator, trace, killLeader };
            TrialEvacuations.create({ ...context, checker: checker.evacuations });
        }
    }

    private killLeader(): void {
        const leader = this.context.nodes.find(each => each.instance?.isLeading === true);
        if (leader !== undefined) {
            this.context.trace.push(`${Math.round(this.context.schedule.now)} FAULT kill n${leader.index}`);
            this.recordDisruption("kill", leader.index, 0);
            this.host.kill(leader);
        }
    }

    private inject(fault: JobFault): void {
        const leader = this.context.nodes.find(each => each.instance?.isLeading === true);
        const node =
            leader !== undefined && this.context.random.chance(0.6)
                ? leader
                : this.context.random.pick(this.context.nodes);
        const worker = this.context.random.between(0, this.context.plan.workers - 1);
        const durationMs = this.context.random.between(500, 6_000);
        this.context.trace.push(
            `${Math.round(this.context.schedule.now)} FAULT ${fault} n${node.index} w${worker} ${durationMs}`,
        );
        this.recordDisruption(fault, node.index, durationMs);
        switch (fault) {
            case "slow-pages":
            case "slow-worker-pages":
            case "slow-operator-pages":
                this.readsOf(fault).slowDown(node.index, durationMs);
                break;
            case "stalled-read":
            case "stalled-worker-read":
            case "stalled-operator-read":
                this.readsOf(fault).stallNext(node.index);
                break;
            case "kill":
                this.host.kill(node);
                break;
            case "kill-all":
                this.context.nodes.forEach(each => this.host.kill(each));
                break;
            case "stop":
                this.host.stop(node);
                break;
            case "freeze":
                this.host.freeze(node, durationMs);
                break;
            case "cut-store":
                node.storeCutUntil = this.context.schedule.now + durationMs;
                break;
            case "store-down":
                this.context.store.takeDown(durationMs);
                break;
            case "lost-answers":
                this.context.store.loseAnswers(durationMs);
                break;
            case "expire":
                this.context.store.expire();
                break;
            default:
                this.injectIntoWorkers(fault, worker, durationMs);
        }
    }

    private injectIntoWorkers(fault: JobFault, worker: number, durationMs: number): void {
        switch (fault) {
            case "worker-crash":
                this.context.workers.restart(worker);
                break;
            case "worker-gone":
                this.context.workers.remove(worker);
                break;
            case "worker-cut":
                this.context.workers.cut(worker, durationMs);
                break;
            case "slow-link":
                this.context.workers.slowDownLink(worker, DURATION_RATIOS["slow-link"]! * durationMs);
                break;
            case "worker-slow":
                this.context.workers.slowDown(DURATION_RATIOS["worker-slow"]! * durationMs);
                break;
            case "late-orders":
                this.context.workers.delayOrders(durationMs);
                break;
        }
    }

    private readsOf(fault: ReadFault): TrialReads {
        const { jobs, workers, operator } = this.context.reads;
        return OPERATOR_READ_FAULTS.includes(fault) ? operator : WORKER_READ_FAULTS.includes(fault) ? workers : jobs;
    }

    /** A response that stalls disrupts nothing, and slow pages fill the links of instances that stay in touch. */
    private recordDisruption(fault: JobFault, index: number, durationMs: number): void {
        if (STALLS.includes(fault)) {
            return;
        }
        const isOfWorker = fault === "worker-slow" || FAULTS_OF_WORKERS.includes(fault);
        const isOfAll = fault === "kill-all" || fault === "store-down" || fault === "lost-answers";
        const all = this.context.nodes.map(each => each.index);
        const isOfReads = SLOW_PAGES.includes(fault);
        const instances = isOfAll ? all : isOfWorker || isOfReads ? [] : [index];
        const stopMs = (this.context.plan.graceMs ?? 0) + MAX_DOWN_MS;
        const planned: Partial<Record<JobFault, number>> = { kill: MAX_DOWN_MS, "kill-all": MAX_DOWN_MS, stop: stopMs };
        const lastsMs = planned[fault] ?? (DURATION_RATIOS[fault] ?? 1) * durationMs;
        this.context.checker.recordDisruption(lastsMs);
        this.context.checker.cancellations.recordDisruption(lastsMs, instances);
        this.context.checker.drains.recordDisruption(lastsMs, instances);
        this.context.checker.evacuations.recordDisruption(lastsMs, instances);
    }
}

function isOutage(fault: PlannedFault): fault is PlannedOutage {
    return fault in OUTAGE_MS;
}

function isCrash(fault: PlannedFault): fault is CrashFault {
    return fault.startsWith("crash-");
}
