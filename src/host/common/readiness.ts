import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { EffectSink } from "../../base/common/effectSink";
import { Machine } from "../../base/common/machine";
import { DecisionEffect } from "../../dispatch/common/scheduler/dispatchEffects";
import chartText from "./readiness.chart.yaml";

/** State of an instance. */
export type LifecycleState = "loading" | "serving" | "stopping" | "stopped";

type ReadinessState = "starting" | "ready" | "unready" | "settling";
type ReadinessEvent = "failed" | "recovered" | "settled";
type ReadinessAction = "reportUnready" | "recordFailure" | "recordRecovery" | "reportReady";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ReadinessState, ReadinessEvent, never, ReadinessAction>(chartText, "readiness.chart.yaml", {
        states: ["starting", "ready", "unready", "settling"],
        events: ["failed", "recovered", "settled"],
        guards: [],
        actions: ["reportUnready", "recordFailure", "recordRecovery", "reportReady"],
    }),
);

/**
 * What keeps an instance from being ready.
 * - `loading`: the configuration or the jobs are not loaded yet.
 * - `stopping`: the instance shuts down.
 * - `jobs-failing`, `configuration-failing`: the latest read of the stream failed.
 * - `jobs-old`: the jobs have not been read up to a recent time.
 * - `configuration-unanswered`: no recent read of the configuration was answered.
 * - `configuration-old`: the configuration may not be in force any more.
 * - `store-failing`: appends to the store have failed for a while.
 */
export type ReadinessObstacle =
    | "loading"
    | "stopping"
    | "jobs-failing"
    | "jobs-old"
    | "configuration-failing"
    | "configuration-unanswered"
    | "configuration-old"
    | "store-failing";

/** What decides whether an instance is ready. */
export interface ReadinessViews {
    readonly lifecycle: { readonly state: LifecycleState };
    /** How far the jobs have been read: up to which time (ms) all are known, and whether the latest read failed. */
    readonly jobs: { readonly knownUntil: number | undefined; readonly isFailing: boolean };
    readonly configuration: {
        /** Time (ms) at which the latest answered read was sent, and whether the latest read failed. */
        readonly stream: { readonly answeredSince: number; readonly isFailing: boolean };
        readonly view: { isInForce(now: number): boolean };
    };
    readonly submissions: { isStoreWorking(now: number): boolean };
}

/** An instance whose latest successful read was sent longer ago than this, two long reads, is not ready. */
const MAX_READ_AGE_MS = 3_000;

/** Time for which an instance is ready until that is reported, in ms: a line in this time at most. */
const SETTLING_MS = 1_000;

/** Whether new connections should go to an instance; reports when it is not ready, why, and when it is again. */
export class Readiness {
    private readonly machine: Machine<number, ReadinessState, ReadinessEvent, never, ReadinessAction>;
    /** Obstacles since the instance was ready before. */
    private readonly obstacles = new Set<ReadinessObstacle>();
    /** Number of times that the instance was not ready since then, and for how long, in ms. */
    private times = 1;
    private unreadyMs = 0;
    private firstUnreadyAt = 0;
    private unreadySince = 0;
    private recoveredAt = 0;

    private constructor(
        private readonly views: ReadinessViews,
        private readonly effects: EffectSink<DecisionEffect>,
    ) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                reportUnready: now => this.reportUnready(now),
                recordFailure: now => this.recordFailure(now),
                recordRecovery: now => this.recordRecovery(now),
                reportReady: () => this.reportReady(),
            },
        });
    }

    /**
     * @param views What decides.
     * @param effects Receives the lines.
     * @returns The readiness of an instance that starts.
     */
    static create(views: ReadinessViews, effects: EffectSink<DecisionEffect>): Readiness {
        return new Readiness(views, effects);
    }

    /** @param now Time in ms at which the instance starts. */
    start(now: number): void {
        this.firstUnreadyAt = now;
        this.unreadySince = now;
    }

    /** @param now Time in ms. @returns Whether new connections should go to the instance. */
    isReady(now: number): boolean {
        return this.findObstacles(now).length === 0;
    }

    /** Reports a change, if there is one. @param now Time in ms. */
    review(now: number): void {
        const obstacles = this.findObstacles(now);
        if (obstacles.length > 0) {
            this.machine.fire("failed", now);
            obstacles.forEach(each => this.obstacles.add(each));
            return;
        }
        this.machine.fire("recovered", now);
        if (now - this.recoveredAt >= SETTLING_MS) {
            this.machine.fire("settled", now);
        }
    }

    private findObstacles(now: number): readonly ReadinessObstacle[] {
        const { lifecycle, jobs, configuration, submissions } = this.views;
        if (lifecycle.state !== "serving") {
            return [lifecycle.state === "loading" ? "loading" : "stopping"];
        }
        const isFresh = (sentAt: number) => now - sentAt < MAX_READ_AGE_MS;
        const checks: readonly (readonly [boolean, ReadinessObstacle])[] = [
            [!jobs.isFailing, "jobs-failing"],
            [isFresh(jobs.knownUntil ?? Number.NEGATIVE_INFINITY), "jobs-old"],
            [!configuration.stream.isFailing, "configuration-failing"],
            // A large configuration that waits for its time to be read does not make the known one unusable.
            [isFresh(configuration.stream.answeredSince), "configuration-unanswered"],
            [configuration.view.isInForce(now), "configuration-old"],
            [submissions.isStoreWorking(now), "store-failing"],
        ];
        return checks.flatMap(([isPassed, obstacle]) => (isPassed ? [] : [obstacle]));
    }

    private reportUnready(now: number): void {
        this.obstacles.clear();
        this.firstUnreadyAt = now;
        this.times = 0;
        this.unreadyMs = 0;
        this.recordFailure(now);
        const obstacles = this.findObstacles(now).join();
        this.effects.emit({ kind: "decision", name: "instance-unready", data: { obstacles } });
    }

    private recordFailure(now: number): void {
        this.times += 1;
        this.unreadySince = now;
    }

    private recordRecovery(now: number): void {
        this.unreadyMs += now - this.unreadySince;
        this.recoveredAt = now;
    }

    private reportReady(): void {
        const { times, unreadyMs, recoveredAt, firstUnreadyAt } = this;
        const afterMs = Math.round(recoveredAt - firstUnreadyAt);
        const data = { obstacles: [...this.obstacles].join(), afterMs, unreadyMs: Math.round(unreadyMs), times };
        this.effects.emit({ kind: "decision", name: "instance-ready", data });
    }
}
