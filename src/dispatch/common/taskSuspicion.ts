import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { RecordedSuspicion } from "../../jobs/common/jobRecord";
import chartText from "./taskSuspicion.chart.yaml";

/** Whether a task is suspected of crashing its workers. */
export type SuspicionState = "cleared" | RecordedSuspicion | "convicted";
type SuspicionEvent = "lost-with-others" | "lost-alone" | "survived";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<SuspicionState, SuspicionEvent, never, never>(chartText, "taskSuspicion.chart.yaml", {
        states: ["cleared", "suspected", "accused", "accused-again", "convicted"],
        events: ["lost-with-others", "lost-alone", "survived"],
        guards: [],
        actions: [],
    }),
);

/** Events that lead to a recorded state. */
const EVENTS_BEFORE: Readonly<Record<RecordedSuspicion | "cleared", readonly SuspicionEvent[]>> = {
    cleared: [],
    suspected: ["lost-with-others"],
    accused: ["lost-alone"],
    "accused-again": ["lost-alone", "lost-alone"],
};

/** The evidence that a task crashes the workers that start it. */
export class TaskSuspicion {
    private readonly machine = Machine.create<undefined, SuspicionState, SuspicionEvent, never, never>(chart, {
        guards: {},
        actions: {},
    });

    private constructor() {}

    /**
     * @param recorded Evidence that an earlier leader recorded, if any.
     * @returns The suspicion.
     */
    static create(recorded?: RecordedSuspicion): TaskSuspicion {
        const suspicion = new TaskSuspicion();
        EVENTS_BEFORE[recorded ?? "cleared"].forEach(event => suspicion.fire(event));
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

    /** Handles the loss of a worker, or a report that shows that a worker survived the start. */
    fire(event: SuspicionEvent): void {
        this.machine.fire(event, undefined);
    }
}
