import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { RunRecord } from "../../jobs/common/jobRecord";
import chartText from "./run.chart.yaml";
import { Task } from "./task";
import { ListedEnd, ListedRun, RunEnd } from "./workerTraffic";

/** What the leader knows of a run. */
export type RunState = "assigned" | "inherited" | "starting" | "doubtful" | "running" | "stopping" | "stopped" | "over";

/** What happens to a run. */
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

type RunAction = "sendStart" | "sendStop" | "endListed" | "endLost" | "endUnstarted";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<RunState, RunEvent, never, RunAction>(chartText, "run.chart.yaml", {
        states: ["assigned", "inherited", "starting", "doubtful", "running", "stopping", "stopped", "over"],
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
        actions: ["sendStart", "sendStop", "endListed", "endLost", "endUnstarted"],
    }),
);

/** How a run ended, as the leader sees it. `unstarted` means that it has not run and never will. */
export type RunOutcome = RunEnd | "lost" | "unstarted";

/** What is known with an event. */
export interface RunEventData {
    readonly now: number;
    readonly end?: ListedEnd;
}

/** Sends the orders of a run and hears of its end. */
export abstract class RunHost {
    /** Sends the start. */
    abstract sendStart(run: Run, now: number): void;

    /** Sends the stop. */
    abstract sendStop(run: Run, now: number): void;

    /** Told once how the run ended. */
    abstract onEnd(run: Run, outcome: RunOutcome, checkpoint: string, now: number): void;
}

/** One run of a task on a worker. */
export class Run {
    private readonly machine: Machine<RunEventData, RunState, RunEvent, never, RunAction>;

    /** Time (ms) of the latest change; only lists that were asked for later say that the run is absent. */
    changedAt: number;
    /** Latest report of the run, when it came, and when its progress last grew, in ms. */
    report: ListedRun | undefined;
    reportedAt = 0;
    lastProgressAt = 0;
    private speed = 100;
    /** Whether the worker is known to have taken the speed; that of an inherited run is not. */
    isSpeedConfirmed = true;
    /** Time (ms) at which it was slowed down from full speed. */
    throttledAt = 0;
    /** Rack of its worker. */
    rack = "";
    /** Ticket of the advice service that the start carries. */
    ticket: string | undefined;

    private constructor(
        readonly task: Task,
        readonly record: RunRecord,
        private readonly host: RunHost,
        now: number,
    ) {
        this.changedAt = now;
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                sendStart: ({ now }) => this.host.sendStart(this, now),
                sendStop: ({ now }) => this.host.sendStop(this, now),
                endListed: ({ now, end }) => this.host.onEnd(this, end!.end, end!.checkpoint, now),
                endLost: ({ now }) => this.host.onEnd(this, "lost", this.report?.checkpoint ?? "", now),
                endUnstarted: ({ now }) => this.host.onEnd(this, "unstarted", record.checkpoint, now),
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

    /** What is known of the run. */
    get state(): RunState {
        return this.machine.state;
    }

    /** Share of its speed that the run has been given, 0 to 100. */
    get speedPercent(): number {
        return this.speed;
    }

    /** Notes a change of its speed. @param percent 0 to 100. @param now Time in ms. */
    setSpeed(percent: number, now: number): void {
        if (this.speed === 100) {
            this.throttledAt = now;
        }
        this.speed = percent;
        this.isSpeedConfirmed = true;
    }

    /** Whether its end is decided on and it does no more useful work. */
    get isEnding(): boolean {
        return this.state === "stopping" || this.state === "stopped";
    }

    /** Notes an event. */
    fire(event: RunEvent, data: RunEventData): void {
        const before = this.machine.state;
        this.machine.fire(event, data);
        if (this.machine.state !== before) {
            this.changedAt = data.now;
        }
    }

    /** Takes the worker's report of the run. @param report The report. @param now Time in ms. */
    recordReport(report: ListedRun, now: number): void {
        if (this.report === undefined || report.percent !== this.report.percent) {
            this.lastProgressAt = now;
        }
        this.report = report;
        this.reportedAt = now;
        this.fire("listed", { now });
    }
}
