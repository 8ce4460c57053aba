import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { DecisionData, DecisionName } from "./dispatchEffects";
import { DispatchLimits, LEASE_MARGIN_MS, MIN_START_VALIDITY_MS, START_VALIDITY_MS } from "./dispatchLimits";
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

/** The delay of the loop is logged from this one on, in ms; a shorter one is less than the interval between passes. */
const MIN_LOGGED_DELAY_MS = 50;

/** Views that are too old for a decision. */
interface ViewReview {
    /** Time of the decision in ms. */
    readonly now: number;
    /** Their names. */
    readonly old: readonly string[];
}

/** A view on which starts are decided, and how old it may be when a task starts. */
interface BoundedView {
    readonly name: "jobs" | "workers" | "configuration" | "evacuations";
    readonly view: StreamView;
    /** Time (ms) after a record of the stream is stored from which no task starts that it rules out. */
    readonly boundMs: number;
}

/** Ages of the views on which a decision is based, in ms, as fields of its log line. */
export interface ViewAgeFields {
    readonly jobsAgeMs: number | undefined;
    readonly workersAgeMs: number | undefined;
    readonly configAgeMs: number | undefined;
    /** Largest delay of the loop of late, in ms; `undefined` while it is on time. */
    readonly delayMs: number | undefined;
}

/** Logs a decision. */
export type LogDecision = (name: DecisionName, data: DecisionData) => void;

/**
 * Knows how old the views are on which the leader decides. An order to start is valid only as long as no record that is not
 * known yet can rule it out, so it gets shorter as the views age. If too little is left, nothing is started.
 */
export class ViewController {
    private readonly machine: Machine<ViewReview, ViewState, ViewEvent, never, ViewAction>;
    private readonly boundedViews: readonly BoundedView[];

    private constructor(
        private readonly views: StreamViews,
        limits: DispatchLimits,
        log: LogDecision,
    ) {
        const { cancelMs, drainMs, configurationMs, evacuationMs } = limits;
        const { jobs, workers, configuration: operator } = views;
        this.boundedViews = [
            { name: "jobs", view: jobs, boundMs: cancelMs },
            { name: "workers", view: workers, boundMs: drainMs },
            { name: "configuration", view: operator, boundMs: configurationMs },
            ...(evacuationMs === undefined
                ? []
                : [{ name: "evacuations" as const, view: operator, boundMs: evacuationMs }]),
        ];
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                logOld: ({ now, old }) => log("view-old", { old: old.join(), ...this.ageFields(now) }),
                logRecent: ({ now }) => log("view-recent", { ...this.ageFields(now) }),
            },
        });
    }

    /**
     * @param views The streams on which decisions depend.
     * @param limits Limits of the deployment.
     * @param log Logs when a view becomes too old for starts, and when all are recent again.
     * @returns The controller.
     */
    static create(views: StreamViews, limits: DispatchLimits, log: LogDecision): ViewController {
        return new ViewController(views, limits, log);
    }

    /**
     * @param now Time in ms.
     * @returns Whether tasks may be started: all views on which this is decided are recent enough.
     */
    canStart(now: number): boolean {
        // An order that is sent now may leave the process as late as the loop is.
        const sentBy = now + (this.views.loop?.summary.medianMs ?? 0);
        const old = this.oldViews(sentBy);
        this.machine.fire(old.length === 0 ? "caught-up" : "aged", { now, old });
        return old.length === 0;
    }

    /**
     * Returns the validity of an order to start. Within it, no cancellation, no notice of a worker and no evacuation that is not
     * known yet is older than the deployment allows, and no configuration that is not known yet must be in force.
     * @param now Time in ms.
     * @returns The validity in ms; below `MIN_START_VALIDITY_MS` or negative while tasks may not be started.
     */
    startValidityMs(now: number): number {
        return Math.min(START_VALIDITY_MS, ...this.boundedViews.map(each => validityOn(each, now)));
    }

    private oldViews(now: number): string[] {
        return this.boundedViews.filter(each => validityOn(each, now) < MIN_START_VALIDITY_MS).map(each => each.name);
    }

    /** @param now Time in ms. @returns Fields for the log line of a decision. */
    ageFields(now: number): ViewAgeFields {
        const { jobs, configuration, workers } = this.views;
        return {
            jobsAgeMs: ageOf(jobs, now),
            workersAgeMs: ageOf(workers, now),
            configAgeMs: ageOf(configuration, now),
            delayMs: this.loggedDelayMs,
        };
    }

    /** Largest delay of the loop of late, in ms, for the log line of a decision; `undefined` while it is on time. */
    get loggedDelayMs(): number | undefined {
        const delayMs = Math.round(this.views.loop?.summary.mostMs ?? 0);
        return delayMs < MIN_LOGGED_DELAY_MS ? undefined : delayMs;
    }
}

function validityOn({ view, boundMs }: BoundedView, now: number): number {
    return (view.knownUntil ?? Number.NEGATIVE_INFINITY) + boundMs - LEASE_MARGIN_MS - now;
}

function ageOf(view: StreamView, now: number): number | undefined {
    return view.knownUntil === undefined ? undefined : Math.round(now - view.knownUntil);
}
