import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { FinishedAttempt, RunningAttempt } from "../../services/common/worker";
import chartText from "./attempt.chart.yaml";
import { Assignment, Task } from "./task";
import { AttemptEnd } from "./taskEntry";

/** State of an attempt, as far as the owner knows. */
export type AttemptState = "committed" | "starting" | "inherited" | "running" | "ended";

/** Events of an attempt. `reported`: a report lists it as running; `missing`: a report does not list it. */
export type AttemptEvent =
    "inherit" | "sent" | "reported" | "finished" | "refused" | "missing" | "rebooted" | "expired";

type AttemptGuard = "isStartExpired";
type AttemptAction = "recordEnd" | "recordLost" | "recordNeverStarted";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<AttemptState, AttemptEvent, AttemptGuard, AttemptAction>(chartText, "attempt.chart.yaml", {
        states: ["committed", "starting", "inherited", "running", "ended"],
        events: ["inherit", "sent", "reported", "finished", "refused", "missing", "rebooted", "expired"],
        guards: ["isStartExpired"],
        actions: ["recordEnd", "recordLost", "recordNeverStarted"],
    }),
);

/** Data of an attempt's events. */
export interface AttemptEventData {
    /** Reading of the worker's clock in the report, in ms. */
    readonly workerClock?: number;
    readonly finished?: FinishedAttempt;
}

/** Called once, when an attempt ends. */
export type AttemptEndListener = (attempt: Attempt, end: AttemptEnd, result: string, checkpoint: string) => void;

/** One attempt of a task on a worker. */
export class Attempt {
    private readonly machine: Machine<AttemptEventData, AttemptState, AttemptEvent, AttemptGuard, AttemptAction>;

    /** Reading of the worker's clock (ms) after which the worker rejects the start that was sent. */
    startBy = 0;
    /** Reading of the worker's clock (ms) up to which the attempt may be running. */
    leaseExpiresAt = 0;
    /** Latest report of the running attempt. */
    latestReport: RunningAttempt | undefined;
    /** Time (ms) of the first report of the running attempt, and its progress in it. */
    firstReport: { readonly at: number; readonly progress: number } | undefined;
    /** Readings of the worker's clock (ms) in the first and the latest report of the running attempt. */
    private reportedFrom: number | undefined;
    private reportedUntil = 0;
    /** Whether it is to be evicted. */
    isEvicting = false;
    /** Whether the worker is ordered to throttle it. */
    isThrottled = false;

    private constructor(
        readonly task: Task,
        readonly assignment: Assignment,
        private readonly onEnd: AttemptEndListener,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isStartExpired: data => (data.workerClock ?? 0) > this.startBy,
            },
            actions: {
                recordEnd: data => {
                    const finished = data.finished!;
                    this.onEnd(this, finished.outcome, finished.result, finished.checkpoint);
                },
                recordLost: () => this.onEnd(this, "lost", "", ""),
                recordNeverStarted: () => this.onEnd(this, "never-started", "", ""),
            },
        });
    }

    /**
     * @param task The task.
     * @param assignment Where the attempt was placed.
     * @param onEnd Called when the attempt ends.
     * @returns An attempt whose assignment is in the log.
     */
    static create(task: Task, assignment: Assignment, onEnd: AttemptEndListener): Attempt {
        return new Attempt(task, assignment, onEnd);
    }

    /** State of the attempt, as far as the owner knows. */
    get state(): AttemptState {
        return this.machine.state;
    }

    /** Share of the work done, 0 to 1. */
    get progress(): number {
        return this.latestReport?.progress ?? 0;
    }

    /** Time between the first and the latest report of the running attempt, in ms of the worker's clock. */
    get workedMs(): number {
        return this.reportedFrom === undefined ? 0 : this.reportedUntil - this.reportedFrom;
    }

    /**
     * Records that a report lists the attempt as running.
     * @param running What the report says about it.
     * @param clock Reading of the worker's clock in the report, in ms.
     * @param now Time in ms.
     */
    recordRunning(running: RunningAttempt, clock: number, now: number): void {
        this.latestReport = running;
        this.firstReport ??= { at: now, progress: running.progress };
        this.reportedFrom ??= clock;
        this.reportedUntil = Math.max(this.reportedUntil, clock);
    }

    /** Fires an event. @param event The event. @param data Its data. @returns Whether it caused a transition. */
    fire(event: AttemptEvent, data: AttemptEventData = {}): boolean {
        return this.machine.fire(event, data);
    }
}
