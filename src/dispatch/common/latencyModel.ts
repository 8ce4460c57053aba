import { Run } from "./run";
import { WorkerContact } from "./workerContact";

/**
 * Expected loss of headroom when a task takes the whole processor time of a worker beside one that serves, before
 * anything was seen of the two images, and the variance of that expectation.
 */
const PRIOR_INTERFERENCE = 1.5;
const PRIOR_VARIANCE = 25;

/** Standard deviation of a report, as a part of the headroom it shows: reports are whole ms of short windows. */
const REPORT_DEVIATION_RATIO = 0.15;

/** Least variance of a report of latency, as headroom: load moves while a report is under way. */
const MIN_REPORT_VARIANCE = 0.02;

/** Growth of the variance of a pair with each report, since pressures change. */
const DRIFT_VARIANCE = 0.0001;

/** Standard deviations by which an uncertain pressure is taken to be higher when a run is placed. */
const CAUTION_DEVIATIONS = 0.5;

/** Weights of the latest report in a job's headroom without pressure and in the trend of it. */
const HEADROOM_WEIGHT = 0.25;
const TREND_WEIGHT = 0.06;

/** Weight of the latest report in the headroom whose minimum counts: about a second of the reports of six tasks. */
const SMOOTHED_WEIGHT = 0.1;

/** Reports of a job's tasks come one after the other; a trend over less than this time is noise, in ms. */
const MIN_TREND_MS = 100;

/** Steepest trend that is believed, per second. */
const MAX_TREND_PER_S = 1.2;

/** Headroom of a job of which nothing is known: between a calm and a busy one. */
const UNKNOWN_HEADROOM = 2.5;

/** Rate at which the lowest headroom that was seen is forgotten, per second: the load returns to it within a minute. */
const MIN_HEADROOM_RECOVERY_PER_S = 0.02;

/** Reports are a moving window of this length, in ms; more frequent ones add nothing. */
const REPORT_WINDOW_MS = 450;

/** Largest headroom that is distinguished, as a multiple of the target. */
const MAX_HEADROOM_RATIO = 10;

interface PairInterference {
    interference: number;
    variance: number;
}

/** What is known of the load of a job that serves. */
interface JobBaseline {
    headroom: number;
    /** Change of the headroom per second. */
    trendPerS: number;
    /** Headroom over a longer time, so that single reports do not count as a peak of the load, and its minimum. */
    smoothed: number;
    min: number;
    updatedAt: number;
}

const UNKNOWN_BASELINE: JobBaseline = {
    headroom: UNKNOWN_HEADROOM,
    trendPerS: 0,
    smoothed: UNKNOWN_HEADROOM,
    min: UNKNOWN_HEADROOM,
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
    private readonly pairs = new Map<string | undefined, Map<string | undefined, PairInterference>>();
    private readonly baselines = new Map<string, JobBaseline>();
    private readonly updatedAt = new WeakMap<Run, number>();

    private constructor() {}

    /** @param rows What an earlier leader learnt. @returns The model. */
    static create(rows: readonly PairRow[] = []): LatencyModel {
        const model = new LatencyModel();
        rows.forEach(([serving, beside, pressure, variance]) =>
            model.pairsWith(beside).set(serving, { interference: pressure, variance }),
        );
        return model;
    }

    /** @returns What was learnt. */
    rows(): PairRow[] {
        return [...this.pairs].flatMap(([beside, pressures]) =>
            [...pressures].map(([serving, { interference: pressure, variance }]): PairRow => [
                serving ?? "",
                beside ?? "",
                round(pressure),
                round(variance),
            ]),
        );
    }

    /** Learns from the latest reports of a worker's runs. @param worker The worker. @param now Time in ms. */
    update(worker: WorkerContact, now: number): void {
        for (const run of worker.runs.values()) {
            const observed = headroomOf(run);
            if (observed !== undefined && now - (this.updatedAt.get(run) ?? 0) >= REPORT_WINDOW_MS) {
                this.updatedAt.set(run, now);
                this.updateFrom(run, observed, worker, now);
            }
        }
    }

    /** @returns Headroom that a serving run has now without anything beside it, and the lowest that it had. */
    baseline(run: Run): Readonly<JobBaseline> {
        return this.baselines.get(run.task.job.spec.id) ?? UNKNOWN_BASELINE;
    }

    /** @returns Loss of headroom of a serving image when another one uses a share (0 to 1) of the worker beside it. */
    interference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        return this.pair(image, neighborImage).interference * share;
    }

    /** @returns The same for a placement: the less is known of the pair, the more pressure is assumed. */
    conservativeInterference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        const { interference, variance } = this.pair(image, neighborImage);
        return (interference + CAUTION_DEVIATIONS * Math.sqrt(variance)) * share;
    }

    /** @returns Loss of headroom of a serving run by all that runs on spare processor time beside it. */
    totalInterference(affected: Run, worker: WorkerContact, shareOf: (run: Run) => number): number {
        let sum = 0;
        for (const run of worker.runs.values()) {
            if (run.task.step.usesSpareCpu) {
                sum += this.interference(affected.task.step.image, run.task.step.image, shareOf(run));
            }
        }
        return sum;
    }

    private updateFrom(affected: Run, observed: number, worker: WorkerContact, now: number): void {
        const baseline = this.baseline(affected);
        const neighbors = [...worker.runs.values()]
            .filter(run => run.task.step.usesSpareCpu && run.report !== undefined)
            .map(run => ({
                pair: this.pair(affected.task.step.image, run.task.step.image),
                share: measuredCpuShare(run, worker),
            }));
        const predicted =
            baseline.headroom - neighbors.reduce((sum, each) => sum + each.pair.interference * each.share, 0);
        const residual = predicted - observed;
        const reportVariance = MIN_REPORT_VARIANCE + (REPORT_DEVIATION_RATIO * observed) ** 2;
        const variance = neighbors.reduce((sum, each) => sum + each.pair.variance * each.share ** 2, reportVariance);
        if (this.baselines.has(affected.task.job.spec.id)) {
            for (const { pair, share } of neighbors) {
                const gain = (pair.variance * share) / variance;
                pair.interference = Math.max(0, pair.interference + gain * residual);
                pair.variance = pair.variance * (1 - gain * share) + DRIFT_VARIANCE;
            }
        }
        const interference = neighbors.reduce((sum, each) => sum + each.pair.interference * each.share, 0);
        this.updateBaseline(affected, observed + interference, reportVariance / variance, now);
    }

    /** @param certainty How much of the variance is the report's own, 0 to 1; the rest is due to unknown pressures. */
    private updateBaseline(affected: Run, headroom: number, certainty: number, now: number): void {
        const { id } = affected.task.job.spec;
        const known = this.baselines.get(id);
        if (known === undefined) {
            this.baselines.set(id, { headroom, trendPerS: 0, smoothed: headroom, min: headroom, updatedAt: now });
            return;
        }
        const elapsedS = (now - known.updatedAt) / 1_000;
        const expected = known.headroom + known.trendPerS * elapsedS;
        const residual = headroom - expected;
        known.headroom = expected + HEADROOM_WEIGHT * certainty * residual;
        const trendPerS =
            known.trendPerS + (TREND_WEIGHT * certainty * residual) / Math.max(elapsedS, MIN_TREND_MS / 1_000);
        known.trendPerS = Math.max(-MAX_TREND_PER_S, Math.min(MAX_TREND_PER_S, trendPerS));
        known.smoothed += SMOOTHED_WEIGHT * certainty * (headroom - known.smoothed);
        known.min = Math.min(known.min + MIN_HEADROOM_RECOVERY_PER_S * elapsedS, known.smoothed);
        known.updatedAt = now;
    }

    private pair(image: string | undefined, neighborImage: string | undefined): PairInterference {
        const pairs = this.pairsWith(neighborImage);
        const known = pairs.get(image);
        if (known !== undefined) {
            return known;
        }
        const pair = { interference: PRIOR_INTERFERENCE, variance: PRIOR_VARIANCE };
        pairs.set(image, pair);
        return pair;
    }

    private pairsWith(neighborImage: string | undefined): Map<string | undefined, PairInterference> {
        const known = this.pairs.get(neighborImage);
        if (known !== undefined) {
            return known;
        }
        const pairs = new Map<string | undefined, PairInterference>();
        this.pairs.set(neighborImage, pairs);
        return pairs;
    }
}

/** @returns Ratio of target to reported tail latency, or `undefined` for a run that does not serve or says nothing. */
export function headroomOf(run: Run): number | undefined {
    const { tailTargetMs } = run.task.step;
    if (tailTargetMs === undefined || run.report === undefined || run.report.measure <= 0) {
        return undefined;
    }
    return Math.min(MAX_HEADROOM_RATIO, tailTargetMs / run.report.measure);
}

/** @returns Share of the worker's processor time that a run used according to its latest report. */
export function measuredCpuShare(run: Run, worker: WorkerContact): number {
    return (run.report?.measure ?? 0) / Math.max(1, worker.entry.capacity.cpuMillis);
}

/** @returns Share of the worker's processor time that a run may use at its present speed. */
export function expectedCpuShare(run: Run, worker: WorkerContact): number {
    const requested = (run.task.step.request.cpuMillis * run.speedPercent) / 100;
    return requested / Math.max(1, worker.entry.capacity.cpuMillis);
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
