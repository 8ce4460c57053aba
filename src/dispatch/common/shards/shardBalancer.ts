import { StepSpec } from "../../../jobs/common/jobSpec";
import { QueueTable } from "../../../jobs/common/queueTable";
import { ActiveJob } from "../jobs/activeJob";
import { ActiveJobTable } from "../jobs/activeJobTable";
import { MAX_LOAD_AGE_MS, PUBLICATION_DELAY_MS, REVIEW_INTERVAL_MS, stayMs } from "./balancing";
import { DecisionData, DecisionName } from "../scheduler/dispatchEffects";
import { addDemand, demandOf, JobDemand, lastingStepsOf } from "../jobs/jobDemand";
import { LoadPublisher } from "./loadPublisher";
import { addLoad, emptyLoad, percentOf, ServiceLoad } from "./serviceLoad";
import { ShardFleet } from "./shardFleet";
import { suitabilityOf } from "./shardSuitability";
import { ShardOption } from "./transferPolicy";
import { WorkerEntry } from "../workers/workerEntry";

/** Limit of the jobs that one review transfers: the loads of the others do not show them yet. */
const MAX_TRANSFERS_PER_REVIEW = 16;

/** Limit of the waiting jobs that one review looks at; the next one goes on with the others. */
const MAX_JOBS_PER_REVIEW = 200;

/** Interval at which the workers of the other shards are looked at, in ms. Their kinds change rarely. */
const WORKERS_INTERVAL_MS = 2_000;

/** What the leader of one shard balances. */
export interface BalancedShard {
    readonly jobs: ActiveJobTable;
    readonly queues: QueueTable;
    readonly publisher: LoadPublisher;
    /** Largest delay of the leader's loop of late, in ms. */
    readonly delayMs: () => number;
    readonly log: (name: DecisionName, data: DecisionData) => void;
}

/** A job that was left to another shard, whose published load may not include it yet. */
interface RecentTransfer {
    readonly shard: number;
    readonly service: string;
    readonly load: ServiceLoad;
    /** Steps of its tasks that last and wait, one for each task. */
    readonly lasting: readonly StepSpec[];
    /** Time (ms) of the transfer. */
    readonly at: number;
}

/**
 * Leaves jobs to the leaders of other shards.
 *
 * Load pattern: a fleet with several leaders, whose jobs are distributed by hashes of their identifiers. Few and wide jobs, or jobs
 * that need what only some workers have, fill one shard while others have room. A job is transferred when it is submitted, before
 * any of its tasks is assigned, or later while it waits without a run.
 */
export class ShardBalancer {
    private recent: RecentTransfer[] = [];
    /** Time (ms) since which a job has had no run. */
    private readonly waitingSince = new WeakMap<ActiveJob, number>();
    /** Time (ms) at which a job was transferred to this shard. */
    private readonly arrivedAt = new WeakMap<ActiveJob, number>();
    private reviewedAt = Number.NEGATIVE_INFINITY;
    /** Number of the waiting job with which the next review begins. */
    private firstReviewed = 0;
    /** Workers of each shard by service. */
    private workers = new Map<number, ReadonlyMap<string, readonly WorkerEntry[]>>();
    private workersReadAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly fleet: ShardFleet,
        private readonly shard: BalancedShard,
    ) {}

    /** @param fleet The shards. @param shard The shard that is balanced with the others. @returns The balancer. */
    static create(fleet: ShardFleet, shard: BalancedShard): ShardBalancer {
        return new ShardBalancer(fleet, shard);
    }

    /**
     * Transfers jobs that have just been submitted, and at intervals those that wait.
     * @param now Time in ms.
     * @param wallNow Time in ms since the Unix epoch.
     */
    review(now: number, wallNow: number): void {
        const arrivals = this.shard.jobs.takeArrivals();
        if (this.fleet.count === 1) {
            return;
        }
        this.recent = this.recent.filter(each => !this.isPublished(each));
        for (const job of arrivals) {
            if (job.transfers > 0) {
                this.arrivedAt.set(job, now);
                this.shard.log("job-adopted", { job: job.spec.id, transfers: job.transfers });
            } else {
                job.openDue(wallNow, 0);
                this.reviewArrival(job, now);
            }
        }
        if (now - this.reviewedAt >= REVIEW_INTERVAL_MS) {
            this.reviewedAt = now;
            this.reviewWaiting(now);
        }
    }

    /** @returns Steps of the tasks that last of jobs which a shard has been left of late, one for each task. */
    recentLastingSteps(shard: number, service: string): StepSpec[] {
        return this.recent.flatMap(each => (each.shard === shard && each.service === service ? each.lasting : []));
    }

    /** Whether the latest load of the other shard includes a job: a leader that is late or lost publishes none. */
    private isPublished({ shard, at }: RecentTransfer): boolean {
        return (this.fleet.loads.readAtOf(shard) ?? at) >= at + PUBLICATION_DELAY_MS;
    }

    private reviewArrival(job: ActiveJob, now: number): void {
        const demand = demandOf(job);
        if (demand.tasks > 0 && !this.transfer(job, demand, undefined, now)) {
            // The load of this shard shows the job only after its next review.
            this.adjustOwnLoad(job, demand, 1);
        }
    }

    private reviewWaiting(now: number): void {
        const waiting: { readonly job: ActiveJob; readonly demand: JobDemand; readonly waitedMs: number }[] = [];
        for (const job of this.shard.jobs.all) {
            const demand = job.hasRun ? undefined : demandOf(job);
            if (demand === undefined || demand.tasks === 0) {
                this.waitingSince.delete(job);
                continue;
            }
            const since = this.waitingSince.get(job) ?? now;
            this.waitingSince.set(job, since);
            if (now - since > 0 && this.mayLeave(job, now)) {
                waiting.push({ job, demand, waitedMs: now - since });
            }
        }
        const first = this.firstReviewed < waiting.length ? this.firstReviewed : 0;
        this.firstReviewed = first + MAX_JOBS_PER_REVIEW;
        const reviewed = waiting.slice(first, this.firstReviewed).sort((a, b) => b.waitedMs - a.waitedMs);
        let transfers = 0;
        for (const { job, demand, waitedMs } of reviewed) {
            if (transfers >= MAX_TRANSFERS_PER_REVIEW) {
                return;
            }
            this.adjustOwnLoad(job, demand, -1);
            if (this.transfer(job, demand, waitedMs, now)) {
                transfers += 1;
            } else {
                this.adjustOwnLoad(job, demand, 1);
            }
        }
    }

    private mayLeave(job: ActiveJob, now: number): boolean {
        return now - (this.arrivedAt.get(job) ?? -Infinity) >= stayMs(job.transfers);
    }

    /** @param waitedMs Time for which it has waited, in ms; `undefined` for a new job. @returns Whether it was left to another shard. */
    private transfer(job: ActiveJob, demand: JobDemand, waitedMs: number | undefined, now: number): boolean {
        if (!job.isTransferable) {
            return false;
        }
        const { service } = this.shard.queues.latestSettings(job.spec.queue);
        const { fleet, shard } = this;
        const ownLoad = shard.publisher.loadOf(service);
        const own = this.optionOf(job, service, fleet.shard, shard.delayMs(), ownLoad, now);
        const others = [...Array(fleet.count).keys()].flatMap(each => this.otherOption(job, service, each, now) ?? []);
        const chosen = fleet.policy.choose({ demand, waitedMs }, own, others);
        const { transfers } = job;
        const lasting = lastingStepsOf(job);
        if (chosen === undefined || !shard.jobs.transfer(job, chosen.shard)) {
            return false;
        }
        const load = emptyLoad();
        addDemand(load, demand);
        this.recent.push({ shard: chosen.shard, service, load, lasting, at: now });
        shard.log("job-transferred", {
            job: job.spec.id,
            to: chosen.shard,
            transfers: transfers + 1,
            waitedMs: waitedMs === undefined ? undefined : Math.round(waitedMs),
            cpuMillis: demand.cpuMillis + demand.spareCpuMillis,
            isSuitable: own.isSuitable,
            ...percentsOf("", own.load),
            ...percentsOf("to", chosen.load),
        });
        return true;
    }

    private otherOption(job: ActiveJob, service: string, number: number, now: number): ShardOption | undefined {
        const { shard, loads } = this.fleet;
        const published = number === shard ? undefined : loads.loadOf(number, now, MAX_LOAD_AGE_MS);
        const load = published?.services.get(service);
        if (published === undefined || load === undefined) {
            return undefined;
        }
        const sum = emptyLoad();
        addLoad(sum, load);
        this.recent
            .filter(each => each.shard === number && each.service === service)
            .forEach(each => addLoad(sum, each.load));
        return this.optionOf(job, service, number, published.delayMs, sum, now);
    }

    private optionOf(
        job: ActiveJob,
        service: string,
        number: number,
        delayMs: number,
        load: ServiceLoad | undefined,
        now: number,
    ): ShardOption {
        const suitability = suitabilityOf(job, this.workersOf(number, service, now));
        return { shard: number, load: load ?? emptyLoad(), delayMs, ...suitability };
    }

    private workersOf(number: number, service: string, now: number): readonly WorkerEntry[] {
        if (now - this.workersReadAt >= WORKERS_INTERVAL_MS) {
            this.workersReadAt = now;
            this.workers = new Map();
        }
        const workers = this.workers.get(number) ?? groupByService(this.fleet.workersOf(number));
        this.workers.set(number, workers);
        return workers.get(service) ?? [];
    }

    /** Adds a waiting job to the load of this shard, or takes it out of it. @param sign 1 or -1. */
    private adjustOwnLoad(job: ActiveJob, demand: JobDemand, sign: 1 | -1): void {
        const load = this.shard.publisher.loadOf(this.shard.queues.latestSettings(job.spec.queue).service);
        if (load !== undefined) {
            addDemand(load, demand, sign);
        }
    }
}

/** @returns The workers of each service that accept new tasks. */
function groupByService(workers: readonly WorkerEntry[]): Map<string, WorkerEntry[]> {
    const groups = new Map<string, WorkerEntry[]>();
    for (const worker of workers.filter(({ state }) => state === "ready")) {
        const known = groups.get(worker.service) ?? [];
        known.push(worker);
        groups.set(worker.service, known);
    }
    return groups;
}

/** @returns What is requested of a service's CPU, in percent, for the log. */
function percentsOf(prefix: "" | "to", load: ServiceLoad): DecisionData {
    const reserved = load.usedCpuMillis + load.waitingCpuMillis;
    const spare = load.spareCpuMillis + load.waitingSpareCpuMillis;
    const name = (text: string) => (prefix === "" ? text : `${prefix}${text[0].toUpperCase()}${text.slice(1)}`);
    return {
        [name("reservedPercent")]: percentOf(reserved, load.cpuMillis),
        [name("sparePercent")]: percentOf(spare, load.cpuMillis),
    };
}
