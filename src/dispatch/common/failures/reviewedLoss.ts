import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import type { ActiveJob } from "../jobs/activeJob";
import type { Task } from "../jobs/task";
import type { WorkerContact } from "../workers/workerContact";
import type { WorkerLossCause } from "../workers/workerPool";
import type { WorkerLoss } from "./cutDetector";
import type { LossSeries } from "./lossSeries";
import type { SharedLoss } from "./sharedLossTable";
import chartText from "./reviewedLoss.chart.yaml";

/** What is known of the cause of a loss. */
export type LossState = "unconfirmed" | "awaited" | "unexplained" | "cut" | "out-of-reach";

/** What shows the cause of a loss. */
export type LossEvent = "crashed" | "reported" | "cut" | "returned";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<LossState, LossEvent, never, never>(chartText, "reviewedLoss.chart.yaml", {
        states: ["unconfirmed", "awaited", "unexplained", "cut", "out-of-reach"],
        events: ["crashed", "reported", "cut", "returned"],
        guards: [],
        actions: [],
    }),
);

/** Time after which a worker that has not answered again has crashed as far as anyone can tell, in ms. */
const MAX_UNCONFIRMED_MS = 30_000;

/** The loss of a worker. All that count it against a task ask for its state, so that an explanation holds for all of them. */
export class ReviewedLoss implements WorkerLoss {
    private readonly machine = Machine.create<undefined, LossState, LossEvent, never, never>(chart, {
        guards: {},
        actions: {},
    });
    readonly worker: string;
    private readonly address: string;
    private readonly incarnation: number | undefined;
    readonly heardAt: number;
    readonly silentBy: number;
    readonly jobs: ReadonlySet<ActiveJob>;
    /** Its tasks and the series of losses of each that it is part of. */
    readonly series = new Map<Task, LossSeries>();
    /** The loss as it is shared by several suspects, if it is. */
    shared: SharedLoss | undefined;
    /** Whether only an expired lease shows the loss, so that the worker may still answer. */
    private isAnswerAwaited = false;
    /** Share of the other workers that were lost at the same moment, as far as is known, 0 to 1. */
    lossRatio = 0;

    private constructor(
        worker: WorkerContact,
        suspects: readonly Task[],
        readonly knownAt: number,
        /** Whether the worker tried a task that was accused before: it says nothing about the loss of others. */
        readonly isExperiment: boolean,
    ) {
        this.worker = worker.entry.id;
        this.address = worker.entry.address;
        this.incarnation = worker.incarnation ?? [...worker.runs.values()][0]?.record.incarnation;
        this.heardAt = worker.heardAt ?? knownAt;
        this.silentBy = worker.silentBy(knownAt);
        this.jobs = new Set(suspects.map(task => task.job));
    }

    /**
     * @param worker The worker.
     * @param cause How it was lost.
     * @param suspects Tasks that may be the cause.
     * @param isExperiment Whether one of them was accused before.
     * @param now Time in ms.
     * @returns The loss, of which nothing else is known yet.
     */
    static create(
        worker: WorkerContact,
        cause: WorkerLossCause,
        suspects: readonly Task[],
        isExperiment: boolean,
        now: number,
    ): ReviewedLoss {
        const loss = new ReviewedLoss(worker, suspects, now, isExperiment);
        loss.isAnswerAwaited = cause === "lease-expired";
        if (cause !== "lease-expired") {
            loss.fire("crashed");
        }
        return loss;
    }

    /** What is known of its cause. */
    get state(): LossState {
        return this.machine.state;
    }

    /** Whether something else than a task on the worker explains it. */
    get isExplained(): boolean {
        return this.state === "cut" || this.state === "out-of-reach";
    }

    /** Whether the lease of the worker has expired, and its answer has not shown yet whether it has crashed. */
    get mayReturn(): boolean {
        return this.isAnswerAwaited && (this.state === "unconfirmed" || this.state === "cut");
    }

    /** Handles what shows its cause. */
    fire(event: LossEvent): void {
        this.machine.fire(event, undefined);
        this.series.forEach(each => each.review());
    }

    /**
     * Reviews whether the worker has crashed after its lease has expired.
     * @param worker A worker that has answered.
     */
    reviewAnswer(worker: WorkerContact): void {
        if (worker.entry.id === this.worker) {
            this.isAnswerAwaited = false;
            this.fire(
                this.incarnation !== undefined && worker.incarnation === this.incarnation ? "returned" : "crashed",
            );
        } else if (worker.entry.address === this.address) {
            this.isAnswerAwaited = false;
            this.fire("crashed");
        }
    }

    /** Reviews whether it is too old for the worker to return. @param now Time in ms. */
    reviewAge(now: number): void {
        this.isAnswerAwaited &&= now - this.knownAt < MAX_UNCONFIRMED_MS;
        if (this.state === "unconfirmed" && now - this.knownAt >= MAX_UNCONFIRMED_MS) {
            this.fire("crashed");
        }
    }
}
