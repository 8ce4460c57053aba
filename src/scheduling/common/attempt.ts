import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { FinishedAttempt, RunningAttempt } from "../../services/common/worker";
import chartText from "./attempt.chart.yaml";
import { Assignment, Task } from "./task";
import { AttemptEnd } from "./taskEntry";

/** What the owner knows of an attempt. */
export type AttemptState = "committed" | "starting" | "inherited" | "running" | "over";

/** What happens to an attempt. */
export type AttemptEvent = "inherit" | "sent" | "seen" | "finished" | "refused" | "unseen" | "rebooted" | "expired";

type AttemptGuard = "isStartVoid";
type AttemptAction = "recordEnd" | "recordLost" | "recordNeverStarted";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<AttemptState, AttemptEvent, AttemptGuard, AttemptAction>(chartText, "attempt.chart.yaml", {
        states: ["committed", "starting", "inherited", "running", "over"],
        events: ["inherit", "sent", "seen", "finished", "refused", "unseen", "rebooted", "expired"],
        guards: ["isStartVoid"],
        actions: ["recordEnd", "recordLost", "recordNeverStarted"],
    }),
);

/** What is known with an event. */
export interface AttemptEvidence {
    /** Reading of the worker's clock in the report, in ms. */
    readonly workerClock?: number;
    readonly finished?: FinishedAttempt;
}

/** Told how an attempt ended, once. */
export type EndListener = (attempt: Attempt, end: AttemptEnd, result: string, checkpoint: string) => void;

/** One attempt of a task on a worker. */
export class Attempt {
    private readonly machine: Machine<AttemptEvidence, AttemptState, AttemptEvent, AttemptGuard, AttemptAction>;

    /** Reading of the worker's clock (ms) after which a start that was sent is void. */
    startBy = 0;
    /** Reading of the worker's clock (ms) up to which the attempt may be running. */
    leaseExpiresAt = 0;
    /** Latest report of the running attempt. */
    running: RunningAttempt | undefined;
    /** Time (ms) of the first report of the running attempt, and its progress then. */
    firstSeen: { readonly at: number; readonly progress: number } | undefined;
    /** Whether it has been chosen to make room. */
    evicting = false;
    /** Whether the worker is told to slow it down. */
    throttled = false;

    private constructor(
        readonly task: Task,
        readonly assignment: Assignment,
        private readonly onEnd: EndListener,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                isStartVoid: evidence => (evidence.workerClock ?? 0) > this.startBy,
            },
            actions: {
                recordEnd: evidence => {
                    const finished = evidence.finished!;
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
     * @param onEnd Told of its end.
     * @returns An attempt whose assignment is in the log.
     */
    static create(task: Task, assignment: Assignment, onEnd: EndListener): Attempt {
        return new Attempt(task, assignment, onEnd);
    }

    /** What is known of the attempt. */
    get state(): AttemptState {
        return this.machine.state;
    }

    /** Share of the work done, 0 to 1. */
    get progress(): number {
        return this.running?.progress ?? 0;
    }

    /** Notes an event. */
    fire(event: AttemptEvent, evidence: AttemptEvidence = {}): boolean {
        return this.machine.fire(event, evidence);
    }
}
