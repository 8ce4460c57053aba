import { ChartBinding, Chart } from "../../base/common/chart";
import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Epoch } from "../../services/common/worker";
import chartText from "./task.chart.yaml";
import { AttemptEnd, AttemptEnded, TaskAssigned, TaskRefused, TaskRequest } from "./taskEntry";

/** State of a batch task. */
export type TaskState = "queued" | "assigned" | "cancelling" | "done" | "failed" | "cancelled" | "refused" | "unknown";

/** Events of a batch task. */
export type TaskEvent = "assign" | "cancel" | "refuse" | AttemptEnd;

type TaskGuard =
    | "hasRun"
    | "isNextAttempt"
    | "isCurrentAttempt"
    | "isFinalFailure"
    | "isFinalLoss"
    | "isLateLoss"
    | "isNonIdempotent";
type TaskAction =
    | "beginAttempt"
    | "endAttempt"
    | "storeResult"
    | "storeCheckpoint"
    | "countFailure"
    | "countLoss"
    | "resetLosses"
    | "storeLosses"
    | "countEviction"
    | "storeRefusal";

/** The life cycle of a batch task. */
export const taskChart: Chart<TaskState, TaskEvent, TaskGuard, TaskAction> = ChartRegistry.instance.register(
    ChartLoader.load<TaskState, TaskEvent, TaskGuard, TaskAction>(chartText, "task.chart.yaml", {
        states: ["queued", "assigned", "cancelling", "done", "failed", "cancelled", "refused", "unknown"],
        events: [
            "assign",
            "cancel",
            "refuse",
            "done",
            "failed",
            "evicted",
            "lapsed",
            "stopped",
            "lost",
            "never-started",
        ],
        guards: [
            "hasRun",
            "isNextAttempt",
            "isCurrentAttempt",
            "isFinalFailure",
            "isFinalLoss",
            "isLateLoss",
            "isNonIdempotent",
        ],
        actions: [
            "beginAttempt",
            "endAttempt",
            "storeResult",
            "storeCheckpoint",
            "countFailure",
            "countLoss",
            "resetLosses",
            "storeLosses",
            "countEviction",
            "storeRefusal",
        ],
    }),
);

/** Number of distinct workers on which a task fails before it ends as failed. */
export const MAX_FAILED_WORKERS = 3;

/**
 * Number of attempts in a row lost with their workers after which a task ends as failed: it may be what crashes them. One
 * loss or two are no evidence, since a worker is lost with all its tasks.
 */
export const MAX_LOSSES_IN_A_ROW = 5;

/** Time of work in ms beyond which the loss of an attempt starts the count again: each long task loses a worker some time. */
const MAX_COUNTED_WORK_MS = 10_000;

/** Where an attempt was placed and what is reserved for it. */
export interface Assignment {
    readonly worker: string;
    readonly boot: string;
    readonly attempt: number;
    readonly epoch: Epoch;
    readonly cpus: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** A batch task, as folded from the log. */
export interface Task {
    readonly number: number;
    readonly request: TaskRequest;
    readonly submittedAt: number;
    state: TaskState;
    /** Number of attempts so far. */
    attempts: number;
    evictions: number;
    checkpoint: string;
    /** Result, or the reason why the task ended without one. */
    result: string;
    assignment: Assignment | undefined;
    failedOn: string[];
    /** Number of attempts lost with their workers since one ended otherwise or worked for long; undefined in older snapshots. */
    lossesInARow: number | undefined;
}

/** Data of a task's events. */
export type TaskPayload = TaskAssigned | AttemptEnded | TaskRefused | undefined;

/** Guards and actions of the task chart. */
export const taskBinding: ChartBinding<Task, TaskPayload, TaskGuard, TaskAction> = {
    guards: {
        hasRun: task => task.attempts > 0,
        isNextAttempt: (task, payload) => payload?.kind === "task-assigned" && payload.attempt === task.attempts + 1,
        isCurrentAttempt,
        isFinalFailure: (task, payload) =>
            isCurrentAttempt(task, payload) &&
            (task.request.idempotency === "non-idempotent" || failedWorkers(task).size >= MAX_FAILED_WORKERS),
        isFinalLoss: (task, payload) =>
            isCurrentAttempt(task, payload) && (task.lossesInARow ?? 0) + 1 >= MAX_LOSSES_IN_A_ROW,
        isLateLoss: (task, payload) => isCurrentAttempt(task, payload) && workedMsOf(payload) > MAX_COUNTED_WORK_MS,
        isNonIdempotent: (task, payload) =>
            isCurrentAttempt(task, payload) && task.request.idempotency === "non-idempotent",
    },
    actions: {
        beginAttempt(task, payload) {
            if (payload?.kind === "task-assigned") {
                const { worker, boot, attempt, epoch, cpus, memoryGb, accelerators } = payload;
                task.attempts = attempt;
                task.assignment = { worker, boot, attempt, epoch, cpus, memoryGb, accelerators };
            }
        },
        endAttempt(task) {
            task.assignment = undefined;
        },
        storeResult(task, payload) {
            task.result = payload?.kind === "attempt-ended" ? payload.result : "";
        },
        storeCheckpoint(task, payload) {
            if (payload?.kind === "attempt-ended" && payload.checkpoint !== "") {
                task.checkpoint = payload.checkpoint;
            }
        },
        countFailure(task) {
            task.failedOn = [...failedWorkers(task)];
        },
        countLoss(task) {
            task.lossesInARow = (task.lossesInARow ?? 0) + 1;
        },
        resetLosses(task) {
            task.lossesInARow = 0;
        },
        storeLosses(task) {
            task.result = `lost with ${task.lossesInARow} workers in a row`;
        },
        countEviction(task) {
            task.evictions += 1;
        },
        storeRefusal(task, payload) {
            task.result = payload?.kind === "task-refused" ? payload.reason : "";
        },
    },
};

/** Whether a state is final. */
export function isEnded(state: TaskState): boolean {
    return taskChart.finalStates.has(state);
}

function isCurrentAttempt(task: Task, payload: TaskPayload): boolean {
    return payload?.kind === "attempt-ended" && payload.attempt === task.assignment?.attempt;
}

function workedMsOf(payload: TaskPayload): number {
    return payload?.kind === "attempt-ended" ? (payload.workedMs ?? 0) : 0;
}

function failedWorkers(task: Task): Set<string> {
    return new Set([...task.failedOn, ...(task.assignment === undefined ? [] : [task.assignment.worker])]);
}
