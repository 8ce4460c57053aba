import { Task } from "./task";
import { TeamQuota } from "./teamQuota";

/** Share of its run time that a task may have left as slack before it counts as pressing. */
const PRESSING_SLACK_SHARE = 0.5;

/** Waiting time after which a task goes before all but urgent ones, in ms. */
const STARVATION_MS = 3_600_000;

/** Classes of order, the first first. */
type Rank = 0 | 1 | 2 | 3;

/** A queued task with what its order depends on. */
interface Entry {
    readonly task: Task;
    readonly rank: Rank;
}

/** Slots that each team uses in the shard. */
export type TeamUsage = ReadonlyMap<string, number>;

/** Answers the quota of a team within one shard. */
export type QuotaLookup = (team: string) => TeamQuota;

/**
 * Orders queued tasks: urgent ones, then those that would miss their time, then those that have waited long,
 * then by how much of its guaranteed slots each team uses. The usage is counted up along the order, so that
 * teams take turns.
 */
export class TaskOrder {
    private constructor(private readonly quota: QuotaLookup) {}

    /** @param quota Answers the quota of a team within the shard. @returns The order. */
    static create(quota: QuotaLookup): TaskOrder {
        return new TaskOrder(quota);
    }

    /**
     * @param queued Tasks that wait.
     * @param usage Slots in use, by team.
     * @param wallNow Time in ms since the Unix epoch.
     * @param limit Number of tasks wanted.
     * @returns At most that many tasks, the next one first.
     */
    next(queued: Iterable<Task>, usage: TeamUsage, wallNow: number, limit: number): Task[] {
        const used = new Map(usage);
        const ranked = [...queued].map((task): Entry => ({ task, rank: rankOf(task, wallNow) }));
        const ordered: Task[] = [];
        for (const rank of [0, 1, 2, 3] as const) {
            const lanes = laneByTeam(ranked.filter(entry => entry.rank === rank));
            this.takeTurns(lanes, used, limit, ordered);
        }
        return ordered;
    }

    private takeTurns(lanes: Map<string, Task[]>, used: Map<string, number>, limit: number, into: Task[]): void {
        while (into.length < limit && lanes.size > 0) {
            const team = this.neediest(lanes.keys(), used);
            const lane = lanes.get(team)!;
            const count = used.get(team) ?? 0;
            if (count >= this.quota(team).maxSlots) {
                lanes.delete(team);
                continue;
            }
            into.push(lane.shift()!);
            used.set(team, count + 1);
            if (lane.length === 0) {
                lanes.delete(team);
            }
        }
    }

    private neediest(teams: Iterable<string>, used: ReadonlyMap<string, number>): string {
        let neediest = "";
        let lowest = Number.POSITIVE_INFINITY;
        for (const team of teams) {
            const ratio = (used.get(team) ?? 0) / Math.max(this.quota(team).guaranteedSlots, 0.01);
            if (ratio < lowest) {
                lowest = ratio;
                neediest = team;
            }
        }
        return neediest;
    }
}

/**
 * @param task A task.
 * @param wallNow Time in ms since the Unix epoch.
 * @returns Whether the task would miss its time if it waited much longer.
 */
export function isPressing(task: Task, wallNow: number): boolean {
    const { dueAt, durationMs } = task.request;
    return dueAt > 0 && dueAt - wallNow < durationMs * (1 + PRESSING_SLACK_SHARE);
}

function rankOf(task: Task, wallNow: number): Rank {
    if (task.request.urgency === "urgent") {
        return 0;
    }
    if (isPressing(task, wallNow)) {
        return 1;
    }
    return wallNow - task.submittedAt > STARVATION_MS ? 2 : 3;
}

/** Within a team, earlier due times go first, then earlier submissions. */
function laneByTeam(entries: readonly Entry[]): Map<string, Task[]> {
    const lanes = new Map<string, Task[]>();
    for (const { task } of entries) {
        const lane = lanes.get(task.request.team) ?? [];
        lane.push(task);
        lanes.set(task.request.team, lane);
    }
    for (const lane of lanes.values()) {
        lane.sort((a, b) => compareDue(a, b) || a.number - b.number);
    }
    return lanes;
}

function compareDue(a: Task, b: Task): number {
    const [dueA, dueB] = [a, b].map(task => task.request.dueAt || Number.MAX_SAFE_INTEGER);
    return dueA - dueB;
}
