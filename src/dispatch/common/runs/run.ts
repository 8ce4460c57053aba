import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { RunRecord } from "../../../jobs/common/jobRecord";
import chartText from "./run.chart.yaml";
import type { PlaceOutcome } from "../locality/placeReporter";
import { Task } from "../jobs/task";
import { ListedEnd, ListedRun, RunEnd } from "../workers/workerMessages";

/** State of a run as the leader knows it. */
export type RunState =
    "assigned" | "inherited" | "starting" | "unconfirmed" | "running" | "stopping" | "stopped" | "over";

/** Events of a run. */
export type RunEvent =
    | "inherit"
    | "stored"
    | "accepted"
    | "not-started"
    | "unanswered"
    | "listed"
    | "unlisted"
    | "ended"
    | "lost"
    | "replaced"
    | "stop"
    | "stop-confirmed"
    | "stop-due";

type RunAction = "sendStart" | "sendStop" | "notifyStarted" | "notifyEnded" | "notifyLost" | "notifyUnstarted";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<RunState, RunEvent, never, RunAction>(chartText, "run.chart.yaml", {
        states: ["assigned", "inherited", "starting", "unconfirmed", "running", "stopping", "stopped", "over"],
        events: [
            "inherit",
            "stored",
            "accepted",
            "not-started",
            "unanswered",
            "listed",
            "unlisted",
            "ended",
            "lost",
            "replaced",
            "stop",
            "stop-confirmed",
            "stop-due",
        ],
        guards: [],
        actions: ["sendStart", "sendStop", "notifyStarted", "notifyEnded", "notifyLost", "notifyUnstarted"],
    }),
);

/** How a run ended, as the leader sees it. `unstarted`: it has not run and never will. */
export type RunOutcome = RunEnd | "lost" | "unstarted";

/** Data of an event. */
export interface RunEventData {
    readonly now: number;
    readonly end?: ListedEnd;
}

/** Time after its start for which a run is listed before its start counts as survived by the worker, in ms. */
const PROVEN_AGE_MS = 500;

/** Time after an order of a speed by which the run works at it, in ms. */
const SPEED_DELAY_MS = 600;

/** Sends the orders of a run and is notified of its start and its end. */
export abstract class RunHost {
    /** Sends the order to start. */
    abstract sendStart(run: Run, now: number): void;

    /** Sends the order to stop. */
    abstract sendStop(run: Run, now: number): void;

    /** Called when its worker is known to have started it. */
    abstract onStart(run: Run): void;

    /** Called once, when the run has ended. */
    abstract onEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void;
}

/** One run of a task on a worker. */
export class Run {
    private readonly machine: Machine<RunEventData, RunState, RunEvent, never, RunAction>;

    /** Time (ms) at which it was assigned to its worker, or inherited. */
    readonly assignedAt: number;
    /** Time (ms) of the latest state change; only a list that was requested later can show that the run is absent. */
    changedAt: number;
    /** Time for which the run had worked when it was last paused, in ms. */
    private workedMs = 0;
    /**
     * Time (ms) since which it has worked: at which the start was sent, this leader inherited the run, or a pause ended;
     * `undefined` while it is paused.
     */
    private workingSince: number | undefined;
    /** Time (ms) at which it was paused. */
    private pausedAt = 0;
    private provenMs = 0;
    /** Latest report of the run. */
    report: ListedRun | undefined;
    /** Time (ms) at which the latest report arrived. */
    reportedAt = 0;
    /** Time (ms) at which the progress last changed. */
    lastProgressAt = 0;
    private speed = 100;
    /** Whether the worker is known to have applied the speed; for an inherited run it is not. */
    isSpeedConfirmed = true;
    /** Whether an order to change the speed is in flight. A second one could overtake it, and the withdrawn speed would stay. */
    isSpeedOrderInFlight = false;
    /** Time (ms) at which it was throttled from full speed. */
    throttledAt = 0;
    /** Whether its worker was lost while the run may have been on it, and the loss is counted. */
    isWorkerLost = false;
    /** Whether an earlier leader started it, so that its age is unknown. */
    isInherited = false;
    /** Whether the answer to its start shows that it is on the incarnation of the worker that was listed before. */
    isStartProven = false;
    /** Time (ms) at which its start was sent, if it was. */
    private sentAt: number | undefined;
    private hasUnansweredStart = false;
    /** Rack of its worker; empty if this leader has not read the entry of the worker yet. */
    rack = "";
    /** Whether it is on the rack on which its task runs fastest; `undefined` if that does not matter, or an earlier leader chose it. */
    place: PlaceOutcome | undefined;
    /** Ticket of the advice service that the start carries. */
    ticket: string | undefined;

    private constructor(
        readonly task: Task,
        private recorded: RunRecord,
        private readonly host: RunHost,
        now: number,
    ) {
        this.assignedAt = now;
        this.changedAt = now;
        this.workingSince = now;
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                sendStart: ({ now }) => {
                    this.sentAt = now;
                    this.workedMs = 0;
                    this.provenMs = 0;
                    this.workingSince = now;
                    this.host.sendStart(this, now);
                },
                sendStop: ({ now }) => this.host.sendStop(this, now),
                notifyStarted: () => this.host.onStart(this),
                notifyEnded: ({ now, end }) => this.host.onEnd(this, end!.end, end!.checkpoint, now),
                notifyLost: ({ now }) => this.host.onEnd(this, "lost", this.report?.checkpoint ?? "", now),
                notifyUnstarted: ({ now }) => this.host.onEnd(this, "unstarted", recorded.checkpoint, now),
            },
        });
    }

    /**
     * @param task The task.
     * @param record The assignment, as it is recorded.
     * @param host Sends its orders.
     * @param now Time in ms.
     * @returns A run whose assignment is not stored yet.
     */
    static create(task: Task, record: RunRecord, host: RunHost, now: number): Run {
        return new Run(task, record, host, now);
    }

    /**
     * @param task The task, as it was recorded.
     * @param record The assignment, as an earlier leader recorded it.
     * @param host Sends its orders.
     * @param now Time in ms.
     * @returns A run that may be on its worker, at an unknown speed.
     */
    static inherit(task: Task, record: RunRecord, host: RunHost, now: number): Run {
        const run = new Run(task, record, host, now);
        run.isSpeedConfirmed = false;
        if (task.lastRun >= record.run) {
            // The earlier leader counted the loss of its worker. Its end is still to be counted.
            run.isWorkerLost = true;
            task.lastRun = record.run - 1;
        }
        run.fire("inherit", { now });
        return run;
    }

    /** The assignment, as it is recorded. */
    get record(): RunRecord {
        return this.recorded;
    }

    /**
     * Records that its worker has restarted, so that the next leader does not count the same loss again if the run has not
     * ended by then.
     * @param incarnation The new incarnation of the worker.
     */
    updateIncarnation(incarnation: number): void {
        this.recorded = { ...this.recorded, incarnation };
    }

    /** State of the run as the leader knows it. */
    get state(): RunState {
        return this.machine.state;
    }

    /** Speed that the run is allowed, in percent of full speed. */
    get speedPercent(): number {
        return this.speed;
    }

    /** Records a new speed. @param percent Percent of full speed. @param now Time in ms. */
    setSpeed(percent: number, now: number): void {
        if (this.speed === 100) {
            this.throttledAt = now;
        }
        this.speed = percent;
        this.isSpeedConfirmed = true;
        this.task.job.recordChange();
        if (percent === 0 && this.workingSince !== undefined) {
            this.workedMs = this.workedUntil(now);
            this.workingSince = undefined;
            this.pausedAt = now;
        } else if (percent > 0) {
            this.workingSince ??= now + SPEED_DELAY_MS;
        }
    }

    /** Whether the run does no work: its speed is 0, as far as is known. */
    get isPaused(): boolean {
        return this.speed === 0 && this.isSpeedConfirmed;
    }

    /** Whether a report shows that the worker has survived the run up to its pause. */
    get isPauseProven(): boolean {
        return this.isPaused && this.reportedAt >= this.pausedAt + SPEED_DELAY_MS;
    }

    /** Whether the run is being stopped and does no further useful work. */
    get isEnding(): boolean {
        return this.state === "stopping" || this.state === "stopped";
    }

    /** Whether the run may be on the worker: its start has been sent. */
    get isSent(): boolean {
        return this.state !== "assigned" && this.state !== "over";
    }

    /** Time (ms) at which its start was sent, if it was not answered so far and the worker has never reported the run. */
    get unansweredSince(): number | undefined {
        const isUnanswered = this.hasUnansweredStart || this.state === "starting";
        return isUnanswered && this.report === undefined ? this.sentAt : undefined;
    }

    /** Age of the run in the latest report, in ms, without pauses: the worker has survived its work for this long. */
    get provenAgeMs(): number {
        return this.provenMs;
    }

    /** Whether the worker has certainly survived the start of the run, also by the time at which it was lost before. */
    get isProven(): boolean {
        return this.provenAgeMs >= PROVEN_AGE_MS + this.task.lossAgeMs;
    }

    /**
     * @param now Time in ms.
     * @returns Time until a report can show that the worker has survived the start, in ms; infinite while it is paused.
     */
    provenInMs(now: number): number {
        const missingMs = PROVEN_AGE_MS + this.task.lossAgeMs - this.workedMs;
        return this.workingSince === undefined ? Number.POSITIVE_INFINITY : this.workingSince + missingMs - now;
    }

    private workedUntil(now: number): number {
        return this.workedMs + Math.max(0, now - (this.workingSince ?? now));
    }

    /** Handles an event. */
    fire(event: RunEvent, data: RunEventData): void {
        const before = this.machine.state;
        this.isInherited ||= event === "inherit";
        this.machine.fire(event, data);
        this.hasUnansweredStart ||= before === "starting" && event === "unanswered";
        if (this.machine.state !== before) {
            this.changedAt = data.now;
        }
    }

    /** Records the worker's report of the run. @param report The report. @param now Time in ms. */
    recordReport(report: ListedRun, now: number): void {
        if (this.report === undefined || report.percent !== this.report.percent) {
            this.lastProgressAt = now;
        }
        this.report = report;
        this.reportedAt = now;
        // A loss that was counted before was that of a former incarnation, which never had the run.
        this.isWorkerLost = false;
        this.provenMs = this.workedUntil(now);
        this.fire("listed", { now });
    }
}
