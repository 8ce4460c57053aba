import { TaskGroup } from "../jobs/activeJob";
import { Task } from "../jobs/task";
import { IndexedEntry } from "./waitingIndex";
import { WaitingRank } from "./waitingOrder";

/** A task group with waiting or throttled tasks, and the criteria for its position in the queue. */
export interface WaitingGroup extends IndexedEntry {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    /** Time for which its first task has waited without a run at work, in ms; kept up to date for reports only. */
    waitedMs: number;
    /** Whether the tasks have runs that are throttled, and move if another worker offers a higher speed. */
    readonly isThrottled: boolean;
    /** Whether they are suspected of crashing their workers. */
    readonly isSuspected: boolean;
    readonly service: string;
    readonly priority: number;
    rank: WaitingRank;
}

/** Tasks of a group that wait or should move. */
export interface TasksToPlace {
    readonly tasks: readonly Task[];
    readonly throttled: readonly Task[];
    /** Whether a run is throttled so far that its task should move some time. */
    readonly hasThrottledRun: boolean;
}
