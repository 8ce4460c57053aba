import { JobDraft } from "../../jobs/common/jobCall";
import { StepSpec } from "../../jobs/common/jobSpec";
import { ColocatedRun, ColocationModel, RunCondition, SharedWorker } from "../../standin/common/colocationModel";
import {
    ColocationPlan,
    createBestEffortDraft,
    createLatencyCriticalDraft,
    LATENCY_CRITICAL_INTERVAL_MS,
    LATENCY_CRITICAL_JOBS,
} from "./colocationPlan";
import { Random } from "./random";

/** Headroom of a latency-critical task without load, as ratio of target to tail latency; it falls linearly to 0. */
const IDLE_HEADROOM = 6;

/** Lower limit of the headroom: the queue of an overloaded task is bounded. */
const MIN_HEADROOM = 0.1;

/** Load of latency-critical tasks as share of their requested CPU: mean, relative swing, and period in ms. */
const LOAD = { mean: 0.48, swing: 0.5, periodMs: 10_000 };

/** Loss of headroom next to a best-effort task that uses all CPU of the worker, by kind of the pair of images. */
const INTERFERENCE = { light: 2, heavy: 20 };

/** Relative deviation of a reported tail latency from the true one; reports cover short windows. */
const REPORT_NOISE = 0.1;

/** Simulates latency-critical and best-effort tasks that share workers, and makes up the jobs that they belong to. */
export class TrialColocation extends ColocationModel {
    private readonly steps = new Map<string, readonly StepSpec[]>();
    /** Draws for the jobs, and those for the reports: the jobs of a seed do not depend on what becomes of them. */
    private readonly random: Random;
    private readonly reportRandom: Random;
    private readonly draftCount = { latencyCritical: 0 };

    private constructor(
        private readonly seed: number,
        private readonly plan: ColocationPlan,
        private readonly workers: number,
    ) {
        super();
        this.random = Random.create(seed);
        this.reportRandom = Random.create(seed);
    }

    /**
     * @param seed Seed of the trial.
     * @param plan The jobs and the interference.
     * @param workers Number of workers.
     * @returns The model, still without jobs.
     */
    static create(seed: number, plan: ColocationPlan, workers: number): TrialColocation {
        return new TrialColocation(seed, plan, workers);
    }

    /** @param id Id of the next job. @returns The job, and the time (ms) until the one after it is submitted. */
    nextDraft(id: string): { draft: JobDraft; nextInMs: number } {
        const index = this.draftCount.latencyCritical;
        const isLatencyCritical = index < LATENCY_CRITICAL_JOBS;
        this.draftCount.latencyCritical += isLatencyCritical ? 1 : 0;
        const draft = isLatencyCritical
            ? createLatencyCriticalDraft(index, this.workers, this.plan)
            : createBestEffortDraft(this.random, this.plan);
        this.steps.set(id, draft.steps);
        const nextInMs = isLatencyCritical
            ? LATENCY_CRITICAL_INTERVAL_MS
            : this.random.between(1, 2 * this.plan.bestEffortEveryMs);
        return { draft, nextInMs };
    }

    /** @param task Name of a task. @returns Its step, if its job is known. */
    stepOf(task: string): StepSpec | undefined {
        const [id, , step] = task.split(".");
        return this.steps.get(id)?.[Number(step)];
    }

    /** @param id A job. @returns Whether it may still run at the end of a trial. */
    mayRunOn(id: string): boolean {
        return this.steps.get(id)?.some(step => step.mode === "long-running" || step.usesSpareCpu) === true;
    }

    override conditions(runs: readonly ColocatedRun[], worker: SharedWorker, now: number): RunCondition[] {
        const usage = this.cpuUsage(runs, worker, now);
        return runs.map((run, index) => {
            const step = this.stepOf(run.task);
            if (step?.tailTargetMs === undefined) {
                const full = step?.request.cpuMillis ?? usage[index];
                const rate = usage[index] / Math.max(1, full) / worker.slowness;
                return { rate, latencyOrUsage: usage[index] };
            }
            const alone = IDLE_HEADROOM * (1 - this.load(step, now));
            const loss = runs.reduce((sum, each, other) => {
                const neighbor = this.stepOf(each.task);
                const share = usage[other] / worker.capacity.cpuMillis;
                return sum + (neighbor?.usesSpareCpu === true ? this.interference(step, neighbor) * share : 0);
            }, 0);
            const [headroom, headroomAlone] = [alone - loss, alone].map(
                each => Math.max(MIN_HEADROOM, each) / worker.slowness,
            );
            const noise = 1 + REPORT_NOISE * (2 * this.reportRandom.fraction() - 1);
            const latencyOrUsage = (step.tailTargetMs / headroom) * noise;
            return { rate: 1 / worker.slowness, latencyOrUsage, headroom, headroomAlone };
        });
    }

    /** @returns CPU in use by each run: best-effort runs share what the others leave unused. */
    private cpuUsage(runs: readonly ColocatedRun[], worker: SharedWorker, now: number): number[] {
        const wanted = runs.map(({ task, speedPercent }) => {
            const step = this.stepOf(task);
            const ratio = step?.tailTargetMs === undefined ? speedPercent / 100 : this.load(step, now);
            return (step?.request.cpuMillis ?? 0) * ratio;
        });
        const isBestEffort = runs.map(({ task }) => this.stepOf(task)?.usesSpareCpu === true);
        const sumOf = (kind: boolean) =>
            wanted.reduce((sum, each, index) => sum + (isBestEffort[index] === kind ? each : 0), 0);
        const unused = Math.max(0, worker.capacity.cpuMillis - sumOf(false));
        const granted = Math.min(1, unused / Math.max(1, sumOf(true)));
        return wanted.map((each, index) => (isBestEffort[index] ? each * granted : each));
    }

    private load(step: StepSpec, now: number): number {
        const phase = 2 * Math.PI * (now / LOAD.periodMs + (this.hash(step.image ?? "") % 100) / 100);
        return LOAD.mean * (1 + LOAD.swing * Math.sin(phase));
    }

    private interference(step: StepSpec, neighbor: StepSpec): number {
        const isHeavy = this.hash(`${step.image}/${neighbor.image}`) % 100 < this.plan.heavyRatio * 100;
        return isHeavy ? INTERFERENCE.heavy : INTERFERENCE.light;
    }

    private hash(text: string): number {
        const hashed = [...text].reduce((sum, char) => (Math.imul(sum, 31) + char.charCodeAt(0)) | 0, this.seed);
        return Math.abs(Math.imul(hashed, 0x9e3779b1) >> 8);
    }
}
