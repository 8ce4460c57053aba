import { Clock } from "@sinonjs/fake-timers";
import { Invariants, Violation } from "../../base/common/invariants";
import { hash } from "../../coordination/common/rendezvous";
import { Workload } from "../../standin/common/workload";
import { ACTIONS, Action, pickAction } from "./actions";
import { Random } from "./random";
import { ClusterChecker } from "./clusterChecker";
import { SimulatedClient } from "./simulatedClient";
import { installVirtualClock } from "./virtualClock";
import { ExecutionChecker } from "./executionChecker";
import { SERVICE_SLOT, SimulatedCluster, WORKER_CAPACITY, ClusterSize } from "./simulatedCluster";

/** Range of the virtual time between two steps, in ms. */
const MIN_STEP_MS = 20;
const MAX_STEP_MS = 180;

/** Number of steps between two checks of the cluster. */
const CHECK_INTERVAL_STEPS = 20;

/** Time without faults after the last step within which all accepted tasks must end, in ms. */
const RECOVERY_TIMEOUT_MS = 1_500_000;

/** Interval of the checks during that time, in ms. */
const RECOVERY_STEP_MS = 1_000;

/** Actual behaviour of the trial's tasks, which can differ from what they declare. */
export const TRIAL_WORKLOAD: Workload = {
    families: {
        quick: { cpus: 2, memoryGb: 2, durationMs: 3_000, failureRate: 0 },
        long: { cpus: 4, memoryGb: 8, durationMs: 60_000, failureRate: 0 },
        hungry: { cpus: 9, memoryGb: 12, durationMs: 20_000, failureRate: 0 },
        flaky: { cpus: 1, memoryGb: 1, durationMs: 2_000, failureRate: 0.3 },
        broken: { cpus: 1, memoryGb: 1, durationMs: 2_000, failureRate: 1 },
    },
    interference: {
        quotes: { hungry: 0.3, long: 0.05 },
        long: { hungry: 0.2 },
    },
};

/** Actions of a fault-free trial. */
const FAULT_FREE_ACTIONS: readonly Action[] = ["submit", "resubmit", "quotes", "cancel-burst", "tickets"];

/** Parameters of a trial. */
export interface TrialOptions {
    readonly seed: number;
    readonly steps: number;
    readonly size?: ClusterSize;
    /** Steps whose actions are skipped, to find a shorter failing trace. */
    readonly skippedSteps?: ReadonlySet<number>;
    /** Whether no faults are injected. */
    readonly isFaultFree?: boolean;
    /** Breaks a mechanism of the cluster before the first step, to prove that the checks can fail. */
    readonly sabotage?: (cluster: SimulatedCluster) => void;
}

/** Result of a trial. */
export interface TrialResult {
    readonly violations: readonly Violation[];
    /** State of the instances at the end of a failed trial, one line for each instance and shard. */
    readonly instanceStates: readonly string[];
    /** Actions that were performed, by step. */
    readonly trace: ReadonlyMap<number, Action>;
    readonly counts: Readonly<Record<string, number>>;
}

const DEFAULT_SIZE: ClusterSize = { nodes: 4, workers: 10, shardsPerRegion: 2, retention: 1_500 };

/** Runs several instances under random faults on a virtual clock, until an invariant is violated. */
export class Trial {
    private readonly trace = new Map<number, Action>();
    private readonly violations: Violation[] = [];
    private readonly clock: Clock;
    private readonly cluster: SimulatedCluster;
    private readonly client: SimulatedClient;
    private readonly clusterChecker: ClusterChecker;

    private constructor(private readonly options: TrialOptions) {
        this.clock = installVirtualClock();
        const random = Random.create(options.seed);
        const checker = ExecutionChecker.create(WORKER_CAPACITY, SERVICE_SLOT, key => key.includes("once"));
        this.cluster = SimulatedCluster.create(options.size ?? DEFAULT_SIZE, TRIAL_WORKLOAD, random, checker);
        this.client = SimulatedClient.create();
        this.clusterChecker = ClusterChecker.create(this.cluster, this.client);
    }

    /** @param options Parameters of the trial. @returns The result. */
    static run(options: TrialOptions): TrialResult {
        const trial = new Trial(options);
        const subscription = Invariants.instance.onDidViolate(violation => trial.violations.push(violation));
        try {
            options.sabotage?.(trial.cluster);
            return trial.run();
        } finally {
            subscription.dispose();
            trial.clock.uninstall();
        }
    }

    private run(): TrialResult {
        for (let step = 0; step < this.options.steps && !this.hasViolation; step++) {
            this.step(step);
        }
        if (!this.hasViolation) {
            this.recover();
        }
        const { checker, log } = this.cluster;
        return {
            instanceStates: this.hasViolation ? this.clusterChecker.describeInstances() : [],
            violations: [...this.violations, ...checker.violations],
            trace: this.trace,
            counts: {
                taskStarts: checker.startCount,
                evictions: checker.evictionCount,
                requests: checker.requestCount,
                appends: log.appendCount,
                ...this.client.counts,
                ...this.client.outcomeCounts,
            },
        };
    }

    private get hasViolation(): boolean {
        return this.violations.length + this.cluster.checker.violations.length > 0;
    }

    /** Each step has its own seed, so that skipping the action of one step does not change the actions of others. */
    private step(step: number): void {
        const random = Random.create(hash(`${this.options.seed}/${step}`));
        const action = pickAction(random);
        const isSkipped =
            this.options.skippedSteps?.has(step) === true ||
            (this.options.isFaultFree && !FAULT_FREE_ACTIONS.includes(action));
        if (!isSkipped && action !== "none") {
            this.trace.set(step, action);
            ACTIONS[action](this.cluster, this.client, random);
        }
        this.clock.tick(random.between(MIN_STEP_MS, MAX_STEP_MS));
        if (step % CHECK_INTERVAL_STEPS === 0) {
            this.cluster.advanceWorkers();
            this.clusterChecker.checkInvariants();
        }
    }

    /** Ends all faults, waits until all accepted tasks have ended or the time is over, and checks the final state. */
    private recover(): void {
        ACTIONS["heal-all"](this.cluster, this.client, this.cluster.random);
        for (let elapsedMs = 0; elapsedMs < RECOVERY_TIMEOUT_MS && !this.hasViolation; elapsedMs += RECOVERY_STEP_MS) {
            this.clock.tick(RECOVERY_STEP_MS);
            this.cluster.advanceWorkers();
            this.clusterChecker.checkInvariants();
            if (elapsedMs % (RECOVERY_STEP_MS * 20) === 0 && this.clusterChecker.isFinished()) {
                break;
            }
        }
        this.clusterChecker.checkFinalState();
    }
}
