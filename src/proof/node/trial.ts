import { Clock } from "@sinonjs/fake-timers";
import { Invariants, Violation } from "../../base/common/invariant";
import { hash } from "../../coordination/common/rendezvous";
import { Workload } from "../../standin/common/workload";
import { ACTIONS, Action, actionOf } from "./actions";
import { Random } from "./random";
import { Judge } from "./judge";
import { Caller } from "./caller";
import { installClock } from "./virtualClock";
import { Witness } from "./witness";
import { SERVICE_SLOT, World, WORKER_CAPACITY, WorldSize } from "./world";

/** Time of one step, in ms. */
const MIN_STEP_MS = 20;
const MAX_STEP_MS = 180;

/** Steps between two looks of the judge. */
const JUDGE_INTERVAL_STEPS = 20;

/** Time without faults after the steps in which all accepted work must come to its end, in ms. */
const QUIET_MS = 1_500_000;

/** Length of the moments into which the quiet time is divided, in ms. */
const QUIET_STEP_MS = 1_000;

/** How the trial's tasks really behave. */
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

/** Actions of a trial in which nothing fails. */
const CALM: readonly Action[] = ["submit", "resubmit", "quotes", "cancel-burst", "tickets"];

/** What a trial is. */
export interface TrialOptions {
    readonly seed: number;
    readonly steps: number;
    readonly size?: WorldSize;
    /** Steps whose actions are left out, to find the shortest failing trace. */
    readonly skipped?: ReadonlySet<number>;
    /** Whether nothing fails. */
    readonly calm?: boolean;
    /** Changes the world before it runs, to show that the checks can fail. */
    readonly sabotage?: (world: World) => void;
}

/** What came of a trial. */
export interface TrialResult {
    readonly violations: readonly Violation[];
    /** What the instances say at the end of a failed trial. */
    readonly state: readonly string[];
    /** Actions that were taken, by step. */
    readonly trace: ReadonlyMap<number, Action>;
    readonly counts: Readonly<Record<string, number>>;
}

const DEFAULT_SIZE: WorldSize = { nodes: 4, workers: 10, shardsPerRegion: 2, retention: 1_500 };

/** Runs several instances through random faults on a clock of its own, until the first broken promise. */
export class Trial {
    private readonly trace = new Map<number, Action>();
    private readonly violations: Violation[] = [];
    private readonly clock: Clock;
    private readonly world: World;
    private readonly caller: Caller;
    private readonly judge: Judge;

    private constructor(private readonly options: TrialOptions) {
        this.clock = installClock();
        const random = Random.create(options.seed);
        const witness = Witness.create(WORKER_CAPACITY, SERVICE_SLOT, key => key.includes("once"));
        this.world = World.create(options.size ?? DEFAULT_SIZE, TRIAL_WORKLOAD, random, witness);
        this.caller = Caller.create();
        this.judge = Judge.create(this.world, this.caller);
    }

    /** @param options What the trial is. @returns What came of it. */
    static run(options: TrialOptions): TrialResult {
        const trial = new Trial(options);
        const subscription = Invariants.instance.onDidViolate(violation => trial.violations.push(violation));
        try {
            options.sabotage?.(trial.world);
            return trial.run();
        } finally {
            subscription.dispose();
            trial.clock.uninstall();
        }
    }

    private run(): TrialResult {
        for (let step = 0; step < this.options.steps && !this.isBroken; step++) {
            this.step(step);
        }
        if (!this.isBroken) {
            this.settle();
        }
        const { witness, log } = this.world;
        return {
            state: this.isBroken ? this.judge.describe() : [],
            violations: [...this.violations, ...witness.violations],
            trace: this.trace,
            counts: {
                taskStarts: witness.startCount,
                evictions: witness.evictionCount,
                requests: witness.requestCount,
                appends: log.appendCount,
                ...this.caller.counts,
                ...this.caller.refusals,
            },
        };
    }

    private get isBroken(): boolean {
        return this.violations.length + this.world.witness.violations.length > 0;
    }

    /** The action of a step depends on the step alone, so that leaving one out does not change the others. */
    private step(step: number): void {
        const random = Random.create(hash(`${this.options.seed}/${step}`));
        const action = actionOf(random);
        const isLeftOut = this.options.skipped?.has(step) === true || (this.options.calm && !CALM.includes(action));
        if (!isLeftOut && action !== "none") {
            this.trace.set(step, action);
            ACTIONS[action](this.world, this.caller, random);
        }
        this.clock.tick(random.between(MIN_STEP_MS, MAX_STEP_MS));
        if (step % JUDGE_INTERVAL_STEPS === 0) {
            this.world.advanceWorkers();
            this.judge.look();
        }
    }

    /** Ends all faults, waits, and looks whether everything that was accepted has come to its end. */
    private settle(): void {
        ACTIONS["heal-all"](this.world, this.caller, this.world.random);
        for (let waited = 0; waited < QUIET_MS && !this.isBroken; waited += QUIET_STEP_MS) {
            this.clock.tick(QUIET_STEP_MS);
            this.world.advanceWorkers();
            this.judge.look();
            if (waited % (QUIET_STEP_MS * 20) === 0 && this.judge.isSettled()) {
                break;
            }
        }
        this.judge.conclude();
    }
}
