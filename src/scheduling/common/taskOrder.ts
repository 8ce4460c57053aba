import { Task } from "./task";
import { TeamQuota } from "./teamQuota";

/** Slack before the deadline, relative to the run time, below which a task's deadline is at risk. */
const MIN_SLACK_RATIO = 0.5;

/** Waiting time after which a task precedes all others of normal urgency whose deadline is not at risk. */
const STARVATION_THRESHOLD_MS = 3_600_000;

/** Rank of a task in the queue; a lower rank goes first. */
type Rank = 0 | 1 | 2 | 3;

/** A queued task and its rank. */
interface RankedTask {
    readonly task: Task;
    readonly rank: Rank;
}

/** Slots that each team uses in the shard. */
export type TeamUsage = ReadonlyMap<string, number>;

/** Returns the quota of a team within one shard. */
export type QuotaLookup = (team: string) => TeamQuota;

/**
 * Orders queued tasks: urgent ones, then those whose deadline is at risk, then those that have waited too long, then
 * the rest. Within a rank, the team that uses the smallest part of its guaranteed slots goes next; each task in the
 * order counts as usage, so that teams alternate.
 */
export class TaskOrder {
    private constructor(private readonly quota: QuotaLookup) {}

    /** @param quota Returns the quota of a team within the shard. @returns The order. */
    static create(quota: QuotaLookup): TaskOrder {
        return new TaskOrder(quota);
    }

    /**
     * @param queued Queued tasks.
     * @param usage Slots in use, by team.
     * @param wallNow Time in ms since the Unix epoch.
     * @param limit Maximum number of tasks.
     * @returns The tasks to place next, the first one first.
     */
    next(queued: Iterable<Task>, usage: TeamUsage, wallNow: number, limit: number): Task[] {
        const used = new Map(usage);
        const ranked = [...queued].map((task): RankedTask => ({ task, rank: rankOf(task, wallNow) }));
        const ordered: Task[] = [];
        for (const rank of [0, 1, 2, 3] as const) {
            const queues = queuesByTeam(ranked.filter(entry => entry.rank === rank));
            this.interleaveTeams(queues, used, limit, ordered);
        }
        return ordered;
    }

    private interleaveTeams(
        queues: Map<string, Task[]>,
        used: Map<string, number>,
        limit: number,
        ordered: Task[],
    ): void {
        while (ordered.length < limit && queues.size > 0) {
            const team = this.leastServedTeam(queues.keys(), used);
            const queue = queues.get(team)!;
            const count = used.get(team) ?? 0;
            if (count >= this.quota(team).maxSlots) {
                queues.delete(team);
                continue;
            }
            ordered.push(queue.shift()!);
            used.set(team, count + 1);
            if (queue.length === 0) {
                queues.delete(team);
            }
        }
    }

    private leastServedTeam(teams: Iterable<string>, used: ReadonlyMap<string, number>): string {
        let leastServed = "";
        let lowest = Number.POSITIVE_INFINITY;
        for (const team of teams) {
            const ratio = (used.get(team) ?? 0) / Math.max(this.quota(team).guaranteedSlots, 0.01);
            if (ratio < lowest) {
                lowest = ratio;
                leastServed = team;
            }
        }
        return leastServed;
    }
}

/**
 * @param task A task.
 * @param wallNow Time in ms since the Unix epoch.
 * @returns Whether the task would miss its deadline if it waited much longer.
 */
export function isDeadlineAtRisk(task: Task, wallNow: number): boolean {
    const { dueAt, durationMs } = task.request;
    return dueAt > 0 && dueAt - wallNow < durationMs * (1 + MIN_SLACK_RATIO);
}

function rankOf(task: Task, wallNow: number): Rank {
    if (task.request.urgency === "urgent") {
        return 0;
    }
    if (isDeadlineAtRisk(task, wallNow)) {
        return 1;
    }
    return wallNow - task.submittedAt > STARVATION_THRESHOLD_MS ? 2 : 3;
}

/** Queues each team's tasks by earliest deadline, then by earliest submission. */
function queuesByTeam(entries: readonly RankedTask[]): Map<string, Task[]> {
    const queues = new Map<string, Task[]>();
    for (const { task } of entries) {
        const queue = queues.get(task.request.team) ?? [];
        queue.push(task);
        queues.set(task.request.team, queue);
    }
    for (const queue of queues.values()) {
        queue.sort((a, b) => compareDeadlines(a, b) || a.number - b.number);
    }
    return queues;
}

function compareDeadlines(a: Task, b: Task): number {
    const [dueA, dueB] = [a, b].map(task => task.request.dueAt || Number.MAX_SAFE_INTEGER);
    return dueA - dueB;
}
