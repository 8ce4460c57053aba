import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/**
 * Expected loss of headroom when a task takes the whole processor time of a worker beside one that serves, before
 * anything was seen of the two images, and the variance of that expectation.
 */
const PRIOR_PRESSURE = 1.5;
const PRIOR_VARIANCE = 25;

/** Standard deviation of a report, as a part of the headroom it shows: reports are whole ms of short windows. */
const REPORT_DEVIATION = 0.15;

/** Least variance of a report of latency, as headroom: load moves while a report is under way. */
const LEAST_REPORT_VARIANCE = 0.02;

/** Growth of the variance of a pair with each report, since pressures change. */
const DRIFT_VARIANCE = 0.0001;

/** Standard deviations by which an uncertain pressure is taken to be higher when a run is placed. */
const CAUTION = 0.5;

/** Weights of the latest report in a job's headroom without pressure and in the trend of it. */
const BASE_WEIGHT = 0.25;
const TREND_WEIGHT = 0.06;

/** Weight of the latest report in the headroom whose minimum counts: about a second of the reports of six tasks. */
const CALM_WEIGHT = 0.1;

/** Reports of a job's tasks come one after the other; a trend over less than this time is noise, in ms. */
const SHORTEST_TREND_MS = 100;

/** Steepest trend that is believed, per second. */
const STEEPEST_TREND = 1.2;

/** Headroom of a job of which nothing is known: between a calm and a busy one. */
const UNKNOWN_BASE = 2.5;

/** Rate at which the lowest headroom that was seen is forgotten, per second: the load returns to it within a minute. */
const LOW_FORGET_PER_S = 0.02;

/** Reports are a moving window of this length, in ms; more frequent ones add nothing. */
const REPORT_WINDOW_MS = 450;

/** Largest headroom that is distinguished, as a multiple of the target. */
const LARGEST_HEADROOM = 10;

interface PairPressure {
    pressure: number;
    variance: number;
}

/** What is known of the load of a job that serves. */
interface JobBase {
    headroom: number;
    /** Change of the headroom per second. */
    trend: number;
    /** Headroom over a longer time, so that single reports do not count as a peak of the load, and its minimum. */
    calm: number;
    lowest: number;
    updatedAt: number;
}

const UNKNOWN: JobBase = {
    headroom: UNKNOWN_BASE,
    trend: 0,
    calm: UNKNOWN_BASE,
    lowest: UNKNOWN_BASE,
    updatedAt: 0,
};

/** Pressures of pairs, to be kept for the next leader: image that serves, image beside it, pressure, variance. */
export type PairRow = readonly [string, string, number, number];

/**
 * Learns how much tasks on spare processor time slow down tasks that serve. The ratio of target to tail latency, the
 * headroom, falls about linearly with load, as in a queue; below 1 the target is missed. All tasks of a job share their
 * load, so what differs between them is due to what runs beside each.
 */
export class LatencyModel {
    /** By image beside, then by image that serves. */
    private readonly pairs = new Map<string | undefined, Map<string | undefined, PairPressure>>();
    private readonly bases = new Map<string, JobBase>();
    private readonly learntAt = new WeakMap<Run, number>();

    private constructor() {}

    /** @param rows What an earlier leader learnt. @returns The model. */
    static create(rows: readonly PairRow[] = []): LatencyModel {
        const model = new LatencyModel();
        rows.forEach(([serving, beside, pressure, variance]) =>
            model.besides(beside).set(serving, { pressure, variance }),
        );
        return model;
    }

    /** @returns What was learnt. */
    rows(): PairRow[] {
        return [...this.pairs].flatMap(([beside, pressures]) =>
            [...pressures].map(([serving, { pressure, variance }]): PairRow => [
                serving ?? "",
                beside ?? "",
                round(pressure),
                round(variance),
            ]),
        );
    }

    /** Learns from the latest reports of a worker's runs. @param worker The worker. @param now Time in ms. */
    learn(worker: WorkerContact, now: number): void {
        for (const run of worker.runs.values()) {
            const observed = headroomOf(run);
            if (observed !== undefined && now - (this.learntAt.get(run) ?? 0) >= REPORT_WINDOW_MS) {
                this.learntAt.set(run, now);
                this.learnFrom(run, observed, worker, now);
            }
        }
    }

    /** @returns Headroom that a serving run has now without anything beside it, and the lowest that it had. */
    base(serving: Run): Readonly<JobBase> {
        return this.bases.get(serving.task.job.spec.id) ?? UNKNOWN;
    }

    /** @returns Loss of headroom of a serving image when another one uses a share (0 to 1) of the worker beside it. */
    pressure(serving: string | undefined, beside: string | undefined, share: number): number {
        return this.pair(serving, beside).pressure * share;
    }

    /** @returns The same for a placement: the less is known of the pair, the more pressure is assumed. */
    cautiousPressure(serving: string | undefined, beside: string | undefined, share: number): number {
        const { pressure, variance } = this.pair(serving, beside);
        return (pressure + CAUTION * Math.sqrt(variance)) * share;
    }

    /** @returns Loss of headroom of a serving run by all that runs on spare processor time beside it. */
    pressureOn(serving: Run, worker: WorkerContact, shareOf: (run: Run) => number): number {
        let sum = 0;
        for (const run of worker.runs.values()) {
            if (run.task.step.usesSpareCpu) {
                sum += this.pressure(serving.task.step.image, run.task.step.image, shareOf(run));
            }
        }
        return sum;
    }

    private learnFrom(serving: Run, observed: number, worker: WorkerContact, now: number): void {
        const base = this.base(serving);
        const beside = [...worker.runs.values()]
            .filter(run => run.task.step.usesSpareCpu && run.report !== undefined)
            .map(run => ({
                pair: this.pair(serving.task.step.image, run.task.step.image),
                share: measuredShare(run, worker),
            }));
        const predicted = base.headroom - beside.reduce((sum, each) => sum + each.pair.pressure * each.share, 0);
        const surplus = predicted - observed;
        const reportVariance = LEAST_REPORT_VARIANCE + (REPORT_DEVIATION * observed) ** 2;
        const variance = beside.reduce((sum, each) => sum + each.pair.variance * each.share ** 2, reportVariance);
        if (this.bases.has(serving.task.job.spec.id)) {
            for (const { pair, share } of beside) {
                const gain = (pair.variance * share) / variance;
                pair.pressure = Math.max(0, pair.pressure + gain * surplus);
                pair.variance = pair.variance * (1 - gain * share) + DRIFT_VARIANCE;
            }
        }
        const pressure = beside.reduce((sum, each) => sum + each.pair.pressure * each.share, 0);
        this.updateBase(serving, observed + pressure, reportVariance / variance, now);
    }

    /** @param certainty How much of the variance is the report's own, 0 to 1; the rest is due to unknown pressures. */
    private updateBase(serving: Run, headroom: number, certainty: number, now: number): void {
        const { id } = serving.task.job.spec;
        const known = this.bases.get(id);
        if (known === undefined) {
            this.bases.set(id, { headroom, trend: 0, calm: headroom, lowest: headroom, updatedAt: now });
            return;
        }
        const elapsedS = (now - known.updatedAt) / 1_000;
        const expected = known.headroom + known.trend * elapsedS;
        const surplus = headroom - expected;
        known.headroom = expected + BASE_WEIGHT * certainty * surplus;
        const trend =
            known.trend + (TREND_WEIGHT * certainty * surplus) / Math.max(elapsedS, SHORTEST_TREND_MS / 1_000);
        known.trend = Math.max(-STEEPEST_TREND, Math.min(STEEPEST_TREND, trend));
        known.calm += CALM_WEIGHT * certainty * (headroom - known.calm);
        known.lowest = Math.min(known.lowest + LOW_FORGET_PER_S * elapsedS, known.calm);
        known.updatedAt = now;
    }

    private pair(serving: string | undefined, beside: string | undefined): PairPressure {
        const pressures = this.besides(beside);
        const known = pressures.get(serving);
        if (known !== undefined) {
            return known;
        }
        const pair = { pressure: PRIOR_PRESSURE, variance: PRIOR_VARIANCE };
        pressures.set(serving, pair);
        return pair;
    }

    private besides(beside: string | undefined): Map<string | undefined, PairPressure> {
        const known = this.pairs.get(beside);
        if (known !== undefined) {
            return known;
        }
        const pressures = new Map<string | undefined, PairPressure>();
        this.pairs.set(beside, pressures);
        return pressures;
    }
}

/** @returns Ratio of target to reported tail latency, or `undefined` for a run that does not serve or says nothing. */
export function headroomOf(run: Run): number | undefined {
    const { tailTargetMs } = run.task.step;
    if (tailTargetMs === undefined || run.report === undefined || run.report.measure <= 0) {
        return undefined;
    }
    return Math.min(LARGEST_HEADROOM, tailTargetMs / run.report.measure);
}

/** @returns Share of the worker's processor time that a run used according to its latest report. */
export function measuredShare(run: Run, worker: WorkerContact): number {
    return (run.report?.measure ?? 0) / Math.max(1, worker.entry.capacity.cpuMillis);
}

/** @returns Share of the worker's processor time that a run may use at its present speed. */
export function expectedShare(run: Run, worker: WorkerContact): number {
    const requested = (run.task.step.request.cpuMillis * run.speedPercent) / 100;
    return requested / Math.max(1, worker.entry.capacity.cpuMillis);
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
