import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { DecisionData, DecisionName } from "./dispatchEffects";
import { DispatchLimits, LEASE_MARGIN_MS, START_VALIDITY_MS } from "./dispatchLimits";
import { StreamView, StreamViews } from "./streamViews";
import chartText from "./view.chart.yaml";

type ViewState = "recent" | "old";
type ViewEvent = "aged" | "caught-up";
type ViewAction = "logOld" | "logRecent";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ViewState, ViewEvent, never, ViewAction>(chartText, "view.chart.yaml", {
        states: ["recent", "old"],
        events: ["aged", "caught-up"],
        guards: [],
        actions: ["logOld", "logRecent"],
    }),
);

/** Ages of the other views are logged from this one on, in ms; a shorter one is that of a stream that is read in time. */
const MIN_LOGGED_AGE_MS = 2_500;

/** The delay of the loop is logged from this one on, in ms; a shorter one is less than the interval between passes. */
const MIN_LOGGED_DELAY_MS = 50;

/** Share of the time from a cancellation to the last start of its tasks for which an order to start may travel. */
const MAX_VALIDITY_RATIO = 0.5;

/** Ages of the views on which a decision is based, in ms, as fields of its log line. */
export interface ViewAgeFields {
    readonly jobsAgeMs: number | undefined;
    /** `undefined` while the view is current, to keep the lines short. */
    readonly configAgeMs: number | undefined;
    /** `undefined` while the view is current. */
    readonly workersAgeMs: number | undefined;
    /** Largest delay of the loop of late, in ms; `undefined` while it is on time. */
    readonly delayMs: number | undefined;
}

/** Logs a decision. */
export type LogDecision = (name: DecisionName, data: DecisionData) => void;

/** Knows how old the views are on which the leader decides, and lets no task start on a view that is too old. */
export class ViewController {
    private readonly machine: Machine<number, ViewState, ViewEvent, never, ViewAction>;
    /** Validity of an order to start, in ms. */
    readonly startValidityMs: number;
    private readonly maxStartAgeMs: number;

    private constructor(
        private readonly views: StreamViews,
        limits: DispatchLimits,
        log: LogDecision,
    ) {
        this.startValidityMs = Math.min(START_VALIDITY_MS, limits.cancelMs * MAX_VALIDITY_RATIO);
        this.maxStartAgeMs = limits.cancelMs - this.startValidityMs - LEASE_MARGIN_MS;
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                logOld: now => log("view-old", { ...this.ageFields(now) }),
                logRecent: now => log("view-recent", { ...this.ageFields(now) }),
            },
        });
    }

    /**
     * @param views The streams on which decisions depend.
     * @param limits Limits of the deployment.
     * @param log Logs when the view of the jobs becomes too old, and when it is recent again.
     * @returns The controller.
     */
    static create(views: StreamViews, limits: DispatchLimits, log: LogDecision): ViewController {
        return new ViewController(views, limits, log);
    }

    /**
     * Decides whether tasks may be started. An order that is sent now reaches its worker within its validity, and then no
     * cancellation that is not known yet may be older than the deployment allows.
     * @param now Time in ms.
     * @returns Whether the view of the jobs is recent enough.
     */
    canStart(now: number): boolean {
        const { knownUntil } = this.views.jobs;
        // An order that is sent now may leave the process as late as the loop is.
        const sentBy = now + (this.views.loop?.summary.medianMs ?? 0);
        const isRecent = knownUntil !== undefined && sentBy - knownUntil <= this.maxStartAgeMs;
        this.machine.fire(isRecent ? "caught-up" : "aged", now);
        return isRecent;
    }

    /** @param now Time in ms. @returns Fields for the log line of a decision. */
    ageFields(now: number): ViewAgeFields {
        const { jobs, configuration, workers } = this.views;
        return {
            jobsAgeMs: ageOf(jobs, now),
            configAgeMs: ifOld(ageOf(configuration, now)),
            workersAgeMs: ifOld(ageOf(workers, now)),
            delayMs: this.loggedDelayMs,
        };
    }

    /** Largest delay of the loop of late, in ms, for the log line of a decision; `undefined` while it is on time. */
    get loggedDelayMs(): number | undefined {
        const delayMs = Math.round(this.views.loop?.summary.mostMs ?? 0);
        return delayMs < MIN_LOGGED_DELAY_MS ? undefined : delayMs;
    }
}

function ageOf(view: StreamView, now: number): number | undefined {
    return view.knownUntil === undefined ? undefined : Math.round(now - view.knownUntil);
}

function ifOld(ageMs: number | undefined): number | undefined {
    return ageMs === undefined || ageMs < MIN_LOGGED_AGE_MS ? undefined : ageMs;
}
