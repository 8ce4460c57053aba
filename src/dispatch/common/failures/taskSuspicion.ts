import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { RecordedSuspicion } from "../../../jobs/common/jobRecord";
import type { LossRate } from "./lossRate";
import chartText from "./taskSuspicion.chart.yaml";

/** Whether a task is suspected of crashing its workers. */
export type SuspicionState = "cleared" | RecordedSuspicion | "convicted";
type SuspicionEvent = "lost-with-others" | "lost-alone" | "survived";
type SuspicionGuard = "isCoincidenceUnlikely";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<SuspicionState, SuspicionEvent, SuspicionGuard, never>(chartText, "taskSuspicion.chart.yaml", {
        states: ["cleared", "suspected", "accused", "accused-again", "convicted"],
        events: ["lost-with-others", "lost-alone", "survived"],
        guards: ["isCoincidenceUnlikely"],
        actions: [],
    }),
);

/** Events that lead to a recorded state if each loss may be a coincidence. */
const EVENTS_BEFORE: Readonly<Record<RecordedSuspicion | "cleared", readonly SuspicionEvent[]>> = {
    cleared: [],
    suspected: ["lost-with-others"],
    accused: ["lost-alone"],
    "accused-again": ["lost-alone", "lost-alone"],
};

/** Number of workers that were lost alone under an accused task, at least. */
const LOSSES_ALONE: Partial<Record<SuspicionState, number>> = { accused: 1, "accused-again": 2 };

/** Probability of all losses being a coincidence from which a task is guilty: few of the suspected tasks are. */
const MAX_COINCIDENCE_PROBABILITY = 0.001;

/** The loss of a worker under a task. */
export interface TaskLoss {
    /** Time within which the worker was lost, in ms. */
    readonly withinMs: number;
    /** How often workers are lost otherwise. */
    readonly rate: LossRate;
}

/** The evidence that a task crashes the workers that start it. */
export class TaskSuspicion {
    private readonly machine = Machine.create<
        TaskLoss | undefined,
        SuspicionState,
        SuspicionEvent,
        SuspicionGuard,
        never
    >(chart, {
        guards: {
            isCoincidenceUnlikely: loss =>
                loss !== undefined && this.coincidenceWith(loss) <= MAX_COINCIDENCE_PROBABILITY,
        },
        actions: {},
    });
    /** Times within which workers were lost alone under this leader, in ms, since the task was last cleared. */
    private lostWithinMs: number[] = [];

    private constructor() {}

    /**
     * @param recorded Evidence that an earlier leader recorded, if any.
     * @returns The suspicion.
     */
    static create(recorded?: RecordedSuspicion): TaskSuspicion {
        const suspicion = new TaskSuspicion();
        EVENTS_BEFORE[recorded ?? "cleared"].forEach(event => suspicion.machine.fire(event, undefined));
        return suspicion;
    }

    /** Whether the task is suspected. */
    get state(): SuspicionState {
        return this.machine.state;
    }

    /** State to record for the next leader, or `undefined` if the task is not suspected or its job has ended. */
    get recorded(): RecordedSuspicion | undefined {
        const { state } = this;
        return state === "cleared" || state === "convicted" ? undefined : state;
    }

    /** Whether a worker was lost that had just started only this task. */
    get isAccused(): boolean {
        return this.state === "accused" || this.state === "accused-again";
    }

    /** Whether at least two workers were lost that had just started only this task. */
    get isAccusedAgain(): boolean {
        return this.state === "accused-again" || this.state === "convicted";
    }

    /**
     * Handles the loss of a worker, or a report that shows that a worker survived the start.
     * @param event What has happened.
     * @param loss The loss; left out if it is no evidence for a conviction.
     */
    fire(event: SuspicionEvent, loss?: TaskLoss): void {
        this.machine.fire(event, loss);
        if (event === "survived") {
            this.lostWithinMs = [];
        } else if (event === "lost-alone" && loss !== undefined) {
            this.lostWithinMs.push(loss.withinMs);
        }
    }

    /**
     * @returns Probability of all losses alone being coincidences, by the present rate: it may have been unknown when the first ones
     * were seen. Those that an earlier leader has seen are taken to be as likely as this one.
     */
    private coincidenceWith({ withinMs, rate }: TaskLoss): number {
        const unseen = Math.max(0, (LOSSES_ALONE[this.state] ?? 0) - this.lostWithinMs.length);
        return this.lostWithinMs.reduce(
            (product, ms) => product * rate.probabilityWithin(ms),
            rate.probabilityWithin(withinMs) ** (unseen + 1),
        );
    }
}
