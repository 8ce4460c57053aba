import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { RecordedSuspicion } from "../../../jobs/common/jobRecord";
import type { ReviewedLoss } from "./reviewedLoss";
import chartText from "./taskSuspicion.chart.yaml";

/** Whether a task is suspected of crashing its workers. */
export type SuspicionState = "cleared" | RecordedSuspicion | "convicted";
type LossEvent = "lost-with-others" | "lost-alone";
type SuspicionEvent = LossEvent | "survived" | "reviewed";
type SuspicionGuard = "isCoincidenceUnlikely";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<SuspicionState, SuspicionEvent, SuspicionGuard, never>(chartText, "taskSuspicion.chart.yaml", {
        states: ["cleared", "suspected", "accused", "accused-again", "convicted"],
        events: ["lost-with-others", "lost-alone", "survived", "reviewed"],
        guards: ["isCoincidenceUnlikely"],
        actions: [],
    }),
);

/** Events that lead to a recorded state if each loss may be a coincidence. */
const EVENTS_BEFORE: Readonly<Record<RecordedSuspicion | "cleared", readonly LossEvent[]>> = {
    cleared: [],
    suspected: ["lost-with-others"],
    accused: ["lost-alone"],
    "accused-again": ["lost-alone", "lost-alone"],
};

/** Probability of all losses being a coincidence from which a task is guilty: few of the suspected tasks are. */
const MAX_COINCIDENCE_PROBABILITY = 0.001;

/** Number of workers that have to have crashed under a task before it is guilty. */
const MIN_CRASHES = 2;

/** Lowest probability of a coincidence of a loss that an earlier leader has seen: it may not have known what explains it. */
const MIN_UNSEEN_COINCIDENCE = 0.1;

/** The loss of a worker under a task. */
export interface TaskLoss {
    readonly loss: ReviewedLoss;
    /** Probability of the worker being lost by coincidence, by what is known now. */
    readonly coincidence: () => number;
}

type SuspicionMachine = Machine<undefined, SuspicionState, SuspicionEvent, SuspicionGuard, never>;

/** The evidence that a task crashes the workers that start it. */
export class TaskSuspicion {
    private machine: SuspicionMachine;
    /** Losses under this leader since the task was last cleared. */
    private losses: { readonly event: LossEvent; readonly data: TaskLoss }[] = [];

    private constructor(private recordedBefore: RecordedSuspicion | "cleared") {
        this.machine = this.replay();
    }

    /**
     * @param recorded Evidence that an earlier leader recorded, if any.
     * @returns The suspicion.
     */
    static create(recorded?: RecordedSuspicion): TaskSuspicion {
        return new TaskSuspicion(recorded ?? "cleared");
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

    /** Whether the task is guilty unless something explains a crash of which other workers have not been listed since. */
    get isVerdictAwaited(): boolean {
        const isAwaited = this.losses.some(({ data }) => data.loss.state === "awaited");
        return isAwaited && this.state === "accused-again" && this.isCoincidenceUnlikely();
    }

    /**
     * Handles the loss of a worker under the task.
     * @param event Whether it had just started other tasks, too.
     * @param data The loss.
     */
    recordLoss(event: LossEvent, data: TaskLoss): void {
        this.losses.push({ event, data });
        this.machine.fire(event, undefined);
    }

    /** Takes back the evidence of a loss that something else explains. */
    withdraw(loss: ReviewedLoss): void {
        if (this.state !== "convicted" && this.losses.some(({ data }) => data.loss === loss)) {
            this.losses = this.losses.filter(({ data }) => data.loss !== loss);
            this.machine = this.replay();
        }
    }

    /** Handles a report that shows that a worker survived the start. */
    clear(): void {
        this.recordedBefore = "cleared";
        this.losses = [];
        this.machine.fire("survived", undefined);
    }

    /** Decides whether the task is guilty, once other workers have been listed since the latest loss. */
    review(): void {
        if (this.losses.every(({ data }) => data.loss.state !== "awaited")) {
            this.machine.fire("reviewed", undefined);
        }
    }

    private replay(): SuspicionMachine {
        const machine: SuspicionMachine = Machine.create(chart, {
            guards: { isCoincidenceUnlikely: () => this.isCoincidenceUnlikely() },
            actions: {},
        });
        const events = [...EVENTS_BEFORE[this.recordedBefore], ...this.losses.map(each => each.event)];
        events.forEach(event => machine.fire(event, undefined));
        return machine;
    }

    /**
     * @returns Whether it is unlikely that all losses alone are coincidences. Those of one worker are one coincidence, since it may crash
     * again and again. Those that an earlier leader has seen are taken to be as likely as the least likely one of this leader, or more.
     */
    private isCoincidenceUnlikely(): boolean {
        const byWorker = new Map<string, number>();
        for (const { event, data } of this.losses) {
            if (event === "lost-alone" && data.loss.state !== "unconfirmed") {
                const { worker } = data.loss;
                byWorker.set(worker, Math.max(byWorker.get(worker) ?? 0, data.coincidence()));
            }
        }
        const seen = [...byWorker.values()];
        const unseen = EVENTS_BEFORE[this.recordedBefore].filter(event => event === "lost-alone").length;
        const unseenCoincidence = Math.max(MIN_UNSEEN_COINCIDENCE, ...seen);
        const coincidence = seen.reduce((product, each) => product * each, unseenCoincidence ** unseen);
        return seen.length > 0 && seen.length + unseen >= MIN_CRASHES && coincidence <= MAX_COINCIDENCE_PROBABILITY;
    }
}
