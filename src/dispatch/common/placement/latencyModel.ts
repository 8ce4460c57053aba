import { Run } from "../runs/run";
import { WorkerContact } from "../workers/workerContact";

/**
 * Assumed loss of headroom of a latency-critical task when a neighbor uses all CPU of the worker, and its variance, for
 * a pair of images without reports.
 */
const PRIOR_INTERFERENCE = 1.5;
const PRIOR_VARIANCE = 25;

/** Standard deviation of a report relative to its headroom: reports cover short windows and are rounded to whole ms. */
const REPORT_DEVIATION_RATIO = 0.15;

/** Minimum variance of a reported headroom, since the load changes while a report is in flight. */
const MIN_REPORT_VARIANCE = 0.02;

/** Growth of a pair's variance with each report, since interference changes over time. */
const DRIFT_VARIANCE = 0.0001;

/** Time without a report on a pair after which its estimate ages, in ms. */
const MIN_REPORT_GAP_MS = 2_000;

/**
 * Time constants with which the mean and the variance of an estimate that ages return to those of an unknown pair, in ms. Most
 * pairs keep their interference for long, so an estimate becomes uncertain well before it is forgotten.
 */
const MEAN_AGING_TIME_MS = 120_000;
const VARIANCE_AGING_TIME_MS = 30_000;

/** Interval between two steps of aging, in ms. */
const AGING_INTERVAL_MS = 500;

/** Share of a worker's CPU that a run must use for its neighbors' reports to say anything about its interference. */
const MIN_INFORMATIVE_SHARE = 0.002;

/** Standard deviations that are added to the estimated interference when a run is placed. */
const CAUTION_DEVIATIONS = 0.5;

/** Weights of a report in a job's headroom without interference, and in the trend of that headroom. */
const HEADROOM_WEIGHT = 0.25;
const TREND_WEIGHT = 0.06;

/** Weight of a report in the smoothed headroom; with six tasks, it averages the reports of about 1 s. */
const SMOOTHED_WEIGHT = 0.1;

/** Minimum time for a trend, in ms: reports of a job's tasks arrive in succession, and a shorter trend is noise. */
const MIN_TREND_MS = 100;

/** Limit on the trend of the headroom, per second. */
const MAX_TREND_PER_S = 1.2;

/** Headroom that is assumed for a job without reports: between a lightly and a heavily loaded one. */
const DEFAULT_HEADROOM = 2.5;

/** Rate at which the minimum headroom rises again, per second. It is slow, since load peaks recur within a minute. */
const MIN_HEADROOM_RECOVERY_PER_S = 0.02;

/** Length of the moving window that a report covers, in ms; more frequent reports add no information. */
const REPORT_WINDOW_MS = 450;

/** Upper limit of the headroom, as ratio of target to tail latency. */
const MAX_HEADROOM_RATIO = 10;

interface PairInterference {
    /** Loss of headroom when the neighbor uses all CPU of the worker. */
    interference: number;
    variance: number;
    /** Time (ms) of the latest report that changed the estimate, or `undefined` if this leader has seen none. */
    updatedAt?: number;
}

/** Headroom of the tasks of a latency-critical job without interference. */
interface JobBaseline {
    /** Estimate for the present load. */
    headroom: number;
    /** Change of the headroom per second. */
    trendPerS: number;
    /** Headroom averaged over a longer time, so that a single report does not count as a load peak. */
    smoothedHeadroom: number;
    /** Recent minimum of the smoothed headroom. */
    minHeadroom: number;
    updatedAt: number;
}

const DEFAULT_BASELINE: JobBaseline = {
    headroom: DEFAULT_HEADROOM,
    trendPerS: 0,
    smoothedHeadroom: DEFAULT_HEADROOM,
    minHeadroom: DEFAULT_HEADROOM,
    updatedAt: 0,
};

/** Stored estimate of a pair: latency-critical image, neighbor image, interference, variance. */
export type InterferenceRow = readonly [string, string, number, number];

/**
 * Estimates the interference of best-effort tasks with latency-critical tasks from reports. The headroom, the ratio of
 * target to tail latency, falls about linearly with load, as in a queue; below 1 the target is missed. The load of a
 * job is spread evenly over its tasks, so differences between them are attributed to their neighbors.
 */
export class LatencyModel {
    /** By neighbor image, then by latency-critical image. */
    private readonly pairs = new Map<string | undefined, Map<string | undefined, PairInterference>>();
    private readonly baselines = new Map<string, JobBaseline>();
    private readonly updatedAt = new WeakMap<Run, number>();
    /** Time (ms) of the first report: estimates of an earlier leader are at least this old. */
    private startedAt: number | undefined;
    private agedAt: number | undefined;

    private constructor() {}

    /** @param rows Estimates of an earlier leader. @returns The model. */
    static create(rows: readonly InterferenceRow[] = []): LatencyModel {
        const model = new LatencyModel();
        rows.forEach(([image, neighborImage, interference, variance]) =>
            model.pairsWith(neighborImage).set(image, { interference, variance }),
        );
        return model;
    }

    /** @returns The estimates of all pairs. */
    rows(): InterferenceRow[] {
        return [...this.pairs].flatMap(([neighborImage, pairs]) =>
            [...pairs].map(([image, { interference, variance }]): InterferenceRow => [
                image ?? "",
                neighborImage ?? "",
                round(interference),
                round(variance),
            ]),
        );
    }

    /** Updates the estimates from the latest reports. @param worker Worker of the runs. @param now Time in ms. */
    update(worker: WorkerContact, now: number): void {
        this.ageEstimates(now);
        for (const run of worker.runs.values()) {
            const observed = headroomOf(run);
            if (observed !== undefined && now - (this.updatedAt.get(run) ?? 0) >= REPORT_WINDOW_MS) {
                this.updatedAt.set(run, now);
                this.updateFrom(run, observed, worker, now);
            }
        }
    }

    /** @returns Headroom of a latency-critical run without interference. */
    baseline(run: Run): Readonly<JobBaseline> {
        return this.baselines.get(run.task.job.spec.id) ?? DEFAULT_BASELINE;
    }

    /** @returns Loss of headroom of an image when a neighbor image uses a share (0 to 1) of the worker's CPU. */
    interference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        return this.pair(image, neighborImage).interference * share;
    }

    /** @returns Loss of headroom assumed for a placement: the estimate plus a margin that grows with uncertainty. */
    conservativeInterference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        const { interference, variance } = this.pair(image, neighborImage);
        return (interference + CAUTION_DEVIATIONS * Math.sqrt(variance)) * share;
    }

    /** @returns Time since the latest report on a pair, in ms, or `undefined` if this leader has seen none. */
    estimateAgeMs(image: string | undefined, neighborImage: string | undefined, now: number): number | undefined {
        const { updatedAt } = this.pair(image, neighborImage);
        return updatedAt === undefined ? undefined : now - updatedAt;
    }

    /** @returns Loss of headroom of a latency-critical run due to all best-effort runs on its worker. */
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
                pair.updatedAt = share >= MIN_INFORMATIVE_SHARE ? now : pair.updatedAt;
            }
        }
        const interference = neighbors.reduce((sum, each) => sum + each.pair.interference * each.share, 0);
        this.updateBaseline(affected, observed + interference, reportVariance / variance, now);
    }

    /** Estimates that no report confirms return to that of an unknown pair: one that forbids all placements gets no reports. */
    private ageEstimates(now: number): void {
        this.startedAt ??= now;
        this.agedAt ??= now;
        const elapsedMs = now - this.agedAt;
        if (elapsedMs < AGING_INTERVAL_MS) {
            return;
        }
        this.agedAt = now;
        const meanRatio = 1 - Math.exp(-elapsedMs / MEAN_AGING_TIME_MS);
        const varianceRatio = 1 - Math.exp(-elapsedMs / VARIANCE_AGING_TIME_MS);
        for (const pairs of this.pairs.values()) {
            for (const pair of pairs.values()) {
                if (now - (pair.updatedAt ?? this.startedAt) >= MIN_REPORT_GAP_MS) {
                    pair.interference += (PRIOR_INTERFERENCE - pair.interference) * meanRatio;
                    pair.variance += (PRIOR_VARIANCE - pair.variance) * varianceRatio;
                }
            }
        }
    }

    /** @param certainty Share of the variance (0 to 1) that is due to the report and not to uncertain interference. */
    private updateBaseline(affected: Run, headroom: number, certainty: number, now: number): void {
        const { id } = affected.task.job.spec;
        const baseline = this.baselines.get(id);
        if (baseline === undefined) {
            this.baselines.set(id, {
                headroom,
                trendPerS: 0,
                smoothedHeadroom: headroom,
                minHeadroom: headroom,
                updatedAt: now,
            });
            return;
        }
        const elapsedS = (now - baseline.updatedAt) / 1_000;
        const expected = baseline.headroom + baseline.trendPerS * elapsedS;
        const residual = headroom - expected;
        baseline.headroom = expected + HEADROOM_WEIGHT * certainty * residual;
        const trendPerS =
            baseline.trendPerS + (TREND_WEIGHT * certainty * residual) / Math.max(elapsedS, MIN_TREND_MS / 1_000);
        baseline.trendPerS = Math.max(-MAX_TREND_PER_S, Math.min(MAX_TREND_PER_S, trendPerS));
        baseline.smoothedHeadroom += SMOOTHED_WEIGHT * certainty * (headroom - baseline.smoothedHeadroom);
        baseline.minHeadroom = Math.min(
            baseline.minHeadroom + MIN_HEADROOM_RECOVERY_PER_S * elapsedS,
            baseline.smoothedHeadroom,
        );
        baseline.updatedAt = now;
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

/** @returns Ratio of target to reported tail latency, or `undefined` for a run without a target or without a report. */
export function headroomOf(run: Run): number | undefined {
    const { tailTargetMs } = run.task.step;
    if (tailTargetMs === undefined || run.report === undefined || run.report.latencyOrUsage <= 0) {
        return undefined;
    }
    return Math.min(MAX_HEADROOM_RATIO, tailTargetMs / run.report.latencyOrUsage);
}

/** @returns Share of the worker's CPU that a run used according to its latest report. */
export function measuredCpuShare(run: Run, worker: WorkerContact): number {
    return (run.report?.latencyOrUsage ?? 0) / Math.max(1, worker.entry.capacity.cpuMillis);
}

/** @returns Share of the worker's CPU that a run may use at its current speed. */
export function expectedCpuShare(run: Run, worker: WorkerContact): number {
    const requested = (run.task.step.request.cpuMillis * run.speedPercent) / 100;
    return requested / Math.max(1, worker.entry.capacity.cpuMillis);
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
