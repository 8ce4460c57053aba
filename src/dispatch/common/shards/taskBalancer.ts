import { StepSpec } from "../../../jobs/common/jobSpec";
import { ActiveJob } from "../jobs/activeJob";
import { MAX_LOAD_AGE_MS, REVIEW_INTERVAL_MS, stayMs, TASK_PUBLICATION_DELAY_MS } from "./balancing";
import { BalancedShard, ShardBalancer } from "./shardBalancer";
import { ShardFleet } from "./shardFleet";
import { mayStart } from "../failures/suspectTable";
import { hasRunBefore, Task } from "../jobs/task";
import { TaskOption } from "./transferPolicy";
import { WorkerEntry } from "../workers/workerEntry";
import { countPlaces, takePlace, WorkerRoom } from "../workers/workerRoom";

/** A task that was left to another shard, whose published room may not account for it yet. */
interface RecentTask {
    readonly shard: number;
    readonly service: string;
    readonly step: StepSpec;
    /** Time (ms) of the transfer. */
    readonly at: number;
}

/** Option for a task that is given up: it goes to the shard of its job, which then fails there, whatever room there is. */
const GIVEN_UP = { places: 0, rivals: undefined, delayMs: 0 };

/** Time for which a task waits before a line says why it stays, and interval between two such lines, in ms. */
const STAY_LINE_INTERVAL_MS = 2_000;

/** A task that waits. */
interface WaitingTask {
    readonly task: Task;
    readonly waitedMs: number;
}

/**
 * Leaves single tasks to the leaders of other shards, whose job stays.
 *
 * Load pattern: a shard loses workers, and the tasks that last of many jobs, whose other tasks run on, find no place in what is left,
 * while other shards have room. Each of these tasks has to run by itself.
 */
export class TaskBalancer {
    private recent: RecentTask[] = [];
    /** Time (ms) since which a task has had no run. */
    private readonly waitingSince = new WeakMap<Task, number>();
    /** Time (ms) at which a task was transferred to this shard. */
    private readonly arrivedAt = new WeakMap<Task, number>();
    /** Entries of the workers of each shard in this review, by id. */
    private entries = new Map<number, ReadonlyMap<string, WorkerEntry>>();
    private reviewedAt = Number.NEGATIVE_INFINITY;
    /** Time (ms) of the latest line about a task that stays. */
    private stayLoggedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly fleet: ShardFleet,
        private readonly shard: BalancedShard,
        private readonly jobs: ShardBalancer,
    ) {}

    /**
     * @param fleet The shards.
     * @param shard The shard that is balanced with the others.
     * @param jobs Leaves whole jobs to them.
     * @returns The balancer.
     */
    static create(fleet: ShardFleet, shard: BalancedShard, jobs: ShardBalancer): TaskBalancer {
        return new TaskBalancer(fleet, shard, jobs);
    }

    /** Records that a task was transferred to this shard. @param now Time in ms. */
    recordArrival(task: Task, now: number): void {
        this.arrivedAt.set(task, now);
        this.shard.log("task-adopted", { task: task.name, transfers: task.transfers });
    }

    /** Transfers the tasks that have waited for long and for which another shard has room, at intervals. @param now Time in ms. */
    review(now: number): void {
        const { fleet, shard } = this;
        if (fleet.count === 1 || now - this.reviewedAt < REVIEW_INTERVAL_MS) {
            return;
        }
        this.reviewedAt = now;
        this.entries = new Map();
        this.recent = this.recent.filter(each => !this.isPublished(each));
        const waiting = [...shard.jobs.all].flatMap(job => this.collectWaiting(job, now));
        waiting.sort((a, b) => b.waitedMs - a.waitedMs).forEach(each => this.reviewTask(each, now));
    }

    private collectWaiting(job: ActiveJob, now: number): WaitingTask[] {
        const waiting: WaitingTask[] = [];
        for (const group of job.isLongRunning ? job.groups : []) {
            for (const task of group.step.mode === "long-running" && job.isReady(group) ? group.tasks : []) {
                if (task.run !== undefined || task.isElsewhere) {
                    this.waitingSince.delete(task);
                    continue;
                }
                const since = this.waitingSince.get(task) ?? now;
                this.waitingSince.set(task, since);
                if (job.isTaskTransferable(task)) {
                    waiting.push({ task, waitedMs: now - since });
                }
            }
        }
        return waiting;
    }

    private reviewTask({ task, waitedMs }: WaitingTask, now: number): void {
        const { fleet, shard } = this;
        if (!mayStart(task)) {
            this.transfer(task, { ...GIVEN_UP, shard: shard.jobs.homeOf(task.job.spec.id) }, waitedMs, now);
            return;
        }
        const { service } = shard.queues.latestSettings(task.job.spec.queue);
        const { publisher } = shard;
        const rooms = hasRunBefore(task) ? publisher.restartRoomsOf(service) : publisher.roomsOf(service);
        const places = this.placesIn(fleet.shard, service, task.step, rooms);
        const rivals = this.ownRivals(service, task.step, now);
        const own = { shard: fleet.shard, places, rivals, delayMs: shard.delayMs() };
        const others = [...Array(fleet.count).keys()].flatMap(each => this.otherOption(task, service, each, now) ?? []);
        const isStaying = now - (this.arrivedAt.get(task) ?? Number.NEGATIVE_INFINITY) < stayMs(task.transfers);
        const chosen = fleet.policy.chooseForTask({ waitedMs, isStaying }, own, others);
        if (chosen !== undefined) {
            this.transfer(task, chosen, waitedMs, now, own.places);
        } else if (hasRunBefore(task) && waitedMs >= STAY_LINE_INTERVAL_MS) {
            this.logStay({ task, waitedMs }, own, others, now);
        }
    }

    /** Logs what the shards have to offer to a task that ran before, at intervals. */
    private logStay(
        { task, waitedMs }: WaitingTask,
        own: TaskOption,
        others: readonly TaskOption[],
        now: number,
    ): void {
        if (now - this.stayLoggedAt < STAY_LINE_INTERVAL_MS) {
            return;
        }
        this.stayLoggedAt = now;
        this.shard.log("task-stays", {
            task: task.name,
            waitedMs: Math.round(waitedMs),
            transfers: task.transfers,
            ...task.step.request,
            own: textOf(own),
            others: others.map(textOf).join(" "),
        });
    }

    private transfer(task: Task, chosen: TaskOption, waitedMs: number, now: number, ownPlaces?: number): void {
        const { service } = this.shard.queues.latestSettings(task.job.spec.queue);
        this.shard.jobs.transferTask(task, chosen.shard);
        this.waitingSince.delete(task);
        this.recent.push({ shard: chosen.shard, service, step: task.step, at: now });
        this.shard.log("task-transferred", {
            task: task.name,
            to: chosen.shard,
            transfers: task.transfers,
            waitedMs: Math.round(waitedMs),
            places: chosen.places,
            rivals: chosen.rivals,
            ownPlaces,
        });
    }

    private otherOption(task: Task, service: string, number: number, now: number): TaskOption | undefined {
        const { shard, loads } = this.fleet;
        const published = number === shard ? undefined : loads.loadOf(number, now, MAX_LOAD_AGE_MS);
        if (published === undefined) {
            return undefined;
        }
        const restartRooms = hasRunBefore(task) ? published.restartRooms?.get(service) : undefined;
        const rooms = restartRooms ?? published.rooms?.get(service) ?? [];
        const places = this.placesIn(number, service, task.step, rooms);
        const rivals = this.rivalsIn(number, service, task.step, published.lastingWaits?.get(service));
        return { shard: number, places, rivals, delayMs: published.delayMs };
    }

    /** @returns How many tasks that last, need no more CPU and wait this shard has, without those that have left in this review. */
    private ownRivals(service: string, step: StepSpec, now: number): number {
        const left = this.recent.filter(each => each.at === now && each.service === service);
        const waits = this.shard.publisher.lastingWaitsOf(service);
        return countUpTo(step, waits) - countUpTo(step, left.map(requestOf));
    }

    /** @returns How many tasks that last, need no more CPU and wait a shard has, with those that were left to it of late. */
    private rivalsIn(
        number: number,
        service: string,
        step: StepSpec,
        published: readonly number[] | undefined,
    ): number | undefined {
        return published && countUpTo(step, [...published, ...this.sentTo(number, service).map(requestOf)]);
    }

    /** @returns How many tasks of a step a shard has places for, beside those that were left to it of late. */
    private placesIn(number: number, service: string, step: StepSpec, published: readonly WorkerRoom[]): number {
        if (published.length === 0) {
            return 0;
        }
        const entries =
            this.entries.get(number) ?? new Map(this.fleet.workersOf(number).map(entry => [entry.id, entry]));
        this.entries.set(number, entries);
        const find = (worker: string) => {
            const entry = entries.get(worker);
            return entry?.state === "ready" && entry.service === service ? entry : undefined;
        };
        const rooms = published.map(room => ({ ...room }));
        const sent = this.sentTo(number, service).map(each => each.step);
        const steps = [...sent, ...this.jobs.recentLastingSteps(number, service)];
        steps.forEach(each => takePlace(rooms, each, find));
        return countPlaces(rooms, step, find);
    }

    private sentTo(shard: number, service: string): RecentTask[] {
        return this.recent.filter(each => each.shard === shard && each.service === service);
    }

    /** Whether the latest room of the other shard accounts for a task: a leader that is late or lost publishes none. */
    private isPublished({ shard, at }: RecentTask): boolean {
        return (this.fleet.loads.readAtOf(shard) ?? at) >= at + TASK_PUBLICATION_DELAY_MS;
    }
}

/** @returns An option for the log: SHARD:PLACES/RIVALS/DELAY. */
function textOf({ shard, places, rivals, delayMs }: TaskOption): string {
    return `${shard}:${places}/${rivals ?? "-"}/${Math.round(delayMs)}`;
}

function requestOf({ step }: RecentTask): number {
    return step.request.cpuMillis;
}

/** @returns How many of these requests, in thousandths of a core, are not larger than that of a step. */
function countUpTo({ request }: StepSpec, requests: readonly number[]): number {
    return requests.filter(cpuMillis => cpuMillis <= request.cpuMillis).length;
}
