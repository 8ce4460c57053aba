import { Run } from "../runs/run";
import { PairInterference } from "./pairInterference";
import { NeighborShares, RecentNeighbors } from "./recentNeighbors";
import { WorkerContact } from "../workers/workerContact";

/** Standard deviation of a report relative to its headroom: reports cover short windows and are rounded to whole ms. */
const REPORT_DEVIATION_RATIO = 0.15;

/** Minimum variance of a reported headroom, since the load changes while a report is in flight. */
const MIN_REPORT_VARIANCE = 0.02;

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
const CAUTION_DEVIATIONS = 1;

/** Weights of a report in a job's headroom without interference, and in the trend of that headroom. */
const HEADROOM_WEIGHT = 0.25;
const TREND_WEIGHT = 0.06;

/** Weight of a report in the smoothed headroom; with six tasks, it averages the reports of about 1 s. */
const SMOOTHED_WEIGHT = 0.1;

/** Weight of a report in the spread of a job's reports; with six tasks, it averages those of some seconds. */
const SPREAD_WEIGHT = 0.02;

/** Relative spread that is assumed for a job without reports. */
const DEFAULT_SPREAD_RATIO = 0.15;

/** Limit of a single report, in standard deviations of the job's reports. */
const MAX_REPORT_DEVIATIONS = 3;

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
    /** Mean square of the deviation of a report, relative to the headroom. */
    spread: number;
    updatedAt: number;
}

const DEFAULT_BASELINE: JobBaseline = {
    headroom: DEFAULT_HEADROOM,
    trendPerS: 0,
    smoothedHeadroom: DEFAULT_HEADROOM,
    minHeadroom: DEFAULT_HEADROOM,
    spread: DEFAULT_SPREAD_RATIO ** 2,
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
    private readonly neighbors = new WeakMap<WorkerContact, RecentNeighbors>();
    /** Time (ms) of the first report: estimates of an earlier leader are at least this old. */
    private startedAt: number | undefined;
    private agedAt: number | undefined;

    private constructor() {}

    /** @param rows Estimates of an earlier leader. @returns The model. */
    static create(rows: readonly InterferenceRow[] = []): LatencyModel {
        const model = new LatencyModel();
        rows.forEach(([image, neighborImage, interference, variance]) =>
            model.pairsWith(neighborImage).set(image, PairInterference.restore(interference, variance)),
        );
        return model;
    }

    /** @returns The estimates of all pairs. */
    rows(): InterferenceRow[] {
        return [...this.pairs].flatMap(([neighborImage, pairs]) =>
            [...pairs].map(([image, { mean, variance }]): InterferenceRow => [
                image ?? "",
                neighborImage ?? "",
                round(mean),
                round(variance),
            ]),
        );
    }

    /** Updates the estimates from the latest reports. @param worker Worker of the runs. @param now Time in ms. */
    update(worker: WorkerContact, now: number): void {
        this.ageEstimates(now);
        const shares = this.sharesOf(worker).update(worker, now);
        for (const run of worker.runs.values()) {
            const observed = headroomOf(run);
            if (observed !== undefined && now - (this.updatedAt.get(run) ?? 0) >= REPORT_WINDOW_MS) {
                this.updatedAt.set(run, now);
                this.updateFrom(run, observed, shares, now);
            }
        }
    }

    /** @returns Headroom of a latency-critical run without interference. */
    baseline(run: Run): Readonly<JobBaseline> {
        return this.baselines.get(run.task.job.spec.id) ?? DEFAULT_BASELINE;
    }

    /** @returns Standard deviation of the reports of a latency-critical run, relative to its headroom. */
    spreadRatio(run: Run): number {
        return Math.sqrt(this.baseline(run).spread);
    }

    /** @returns Loss of headroom of an image when a neighbor image uses a share (0 to 1) of the worker's CPU. */
    interference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        return this.pair(image, neighborImage).mean * share;
    }

    /** @returns Loss of headroom assumed for a placement: the estimate plus a margin that grows with uncertainty. */
    conservativeInterference(image: string | undefined, neighborImage: string | undefined, share: number): number {
        const { mean, variance } = this.pair(image, neighborImage);
        return (mean + CAUTION_DEVIATIONS * Math.sqrt(variance)) * share;
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
                const [image, neighborImage, share] = [affected.task.step.image, run.task.step.image, shareOf(run)];
                sum +=
                    run.report === undefined
                        ? this.conservativeInterference(image, neighborImage, share)
                        : this.interference(image, neighborImage, share);
            }
        }
        return sum;
    }

    private updateFrom(affected: Run, observed: number, shares: NeighborShares, now: number): void {
        const baseline = this.baseline(affected);
        const neighbors = [...shares].map(([image, share]) => ({
            pair: this.pair(affected.task.step.image, image),
            share,
        }));
        const sumOf = (value: (each: (typeof neighbors)[number]) => number) =>
            neighbors.reduce((sum, each) => sum + value(each), 0);
        const residual = baseline.headroom - sumOf(({ pair, share }) => pair.mean * share) - observed;
        const reportVariance = MIN_REPORT_VARIANCE + (REPORT_DEVIATION_RATIO * observed) ** 2;
        const variance = reportVariance + sumOf(({ pair, share }) => pair.variance * share ** 2);
        if (this.baselines.has(affected.task.job.spec.id)) {
            const informative = neighbors.filter(({ share }) => share >= MIN_INFORMATIVE_SHARE);
            const own = informative.map(({ pair, share }) => pair.variance * share ** 2);
            informative.forEach(({ pair, share }, index) => {
                pair.update(residual, share, variance - own[index]);
                pair.updatedAt = now;
            });
        }
        const interference = sumOf(({ pair, share }) => pair.mean * share);
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
                    pair.age(meanRatio, varianceRatio);
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
                spread: DEFAULT_SPREAD_RATIO ** 2,
                updatedAt: now,
            });
            return;
        }
        const elapsedS = (now - baseline.updatedAt) / 1_000;
        const expected = baseline.headroom + baseline.trendPerS * elapsedS;
        const deviation = headroom - expected;
        const level = Math.max(1, expected);
        const limit = MAX_REPORT_DEVIATIONS * level * Math.sqrt(baseline.spread);
        const residual = Math.max(-limit, Math.min(limit, deviation));
        baseline.spread += SPREAD_WEIGHT * certainty * ((residual / level) ** 2 - baseline.spread);
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
        const pair = PairInterference.create();
        pairs.set(image, pair);
        return pair;
    }

    private sharesOf(worker: WorkerContact): RecentNeighbors {
        const known = this.neighbors.get(worker);
        if (known !== undefined) {
            return known;
        }
        const neighbors = RecentNeighbors.create();
        this.neighbors.set(worker, neighbors);
        return neighbors;
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

/** @returns Share of the worker's CPU that a run may use at its current speed. */
export function expectedCpuShare(run: Run, worker: WorkerContact): number {
    const requested = (run.task.step.request.cpuMillis * run.speedPercent) / 100;
    return requested / Math.max(1, worker.entry.capacity.cpuMillis);
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
