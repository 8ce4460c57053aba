import type { ActiveJob } from "../jobs/activeJob";
import { LossRate } from "./lossRate";

/** Probability of losses of different causes coming together from which they are taken to have one cause. */
const MAX_COINCIDENCE_PROBABILITY = 0.001;

/** Share of the first starts of tasks that may crash their workers without any loss before: deadly tasks may just have been queued. */
const DEADLY_START_RATIO = 0.02;

/** Shortest time within which losses that come together may be independent, in ms: tasks that are started together crash together. */
const MIN_INDEPENDENT_MS = 1_000;

/** Smallest number of workers that are lost by a cut: two tasks that crash their workers may have started together. */
const MIN_WORKERS = 3;

/** Time for which a loss may be part of a cut, in ms: the lease of a worker that is silent expires by then. */
const MAX_LOSS_AGE_MS = 30_000;

/** The loss of a worker, which happened between two times. */
export interface WorkerLoss {
    readonly worker: string;
    /** Time (ms) at which it last answered. */
    readonly heardAt: number;
    /** Time (ms) by which it had stopped answering. */
    readonly silentBy: number;
    /** Jobs whose tasks it had just started: one of them may be the cause of several losses. */
    readonly jobs: ReadonlySet<ActiveJob>;
    /** Whether it tried a task that was accused of such losses before, which is a cause of its own. */
    readonly isExperiment?: boolean;
}

/**
 * Tells the loss of many workers at one moment, by a cut of the network or of the power, from that of workers one by one.
 *
 * The moment is the one at which most of the lost workers may have been lost: losses of one cause come to light over many seconds,
 * by a new incarnation or an expired lease, while the workers last answered at about the same time. Independent crashes come at
 * the measured rate, and by tasks in proportion to the first starts of tasks, so the number of losses at the moment is compared with a Poisson
 * distribution.
 */
export class CutDetector<T extends WorkerLoss> {
    private losses: { readonly loss: T; readonly knownAt: number; isInRate: boolean }[] = [];
    /** Losses of workers that are not part of a cut: a series of cuts would make the next one look like usual losses. */
    private readonly rate = LossRate.create();
    /** Times (ms) and numbers of first starts of tasks. */
    private starts: { readonly at: number; readonly count: number }[] = [];
    /** Number of workers at work. */
    private workers = 0;
    /** Time (ms) of the latest measurement. */
    private now = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** @returns A detector without losses. */
    static create<T extends WorkerLoss>(): CutDetector<T> {
        return new CutDetector<T>();
    }

    /** Records how many tasks are started for the first time: one that was lost before counts among the losses. */
    recordStarts(count: number): void {
        if (count > 0) {
            this.starts.push({ at: this.now, count });
        }
    }

    /** Records that workers are at work. @param workers Number of workers with runs. @param now Time in ms. */
    recordUptime(workers: number, now: number): void {
        this.rate.recordUptime(workers, now);
        this.workers = workers;
        this.now = now;
        const oldest = this.starts.findIndex(each => now - each.at < MAX_LOSS_AGE_MS);
        this.starts.splice(0, oldest < 0 ? this.starts.length : oldest);
    }

    /**
     * Records the loss of a worker.
     * @param loss The loss.
     * @returns The losses that have the same cause, with this one; empty if they may be independent.
     */
    add(loss: T): readonly T[] {
        this.losses = this.losses.filter(({ knownAt }) => this.now - knownAt < MAX_LOSS_AGE_MS);
        const isFirstOf = !this.losses.some(each => each.loss.worker === loss.worker && isAt(each.loss, loss.heardAt));
        if (isFirstOf) {
            this.rate.recordLoss();
        }
        this.losses.push({ loss, knownAt: this.now, isInRate: isFirstOf });
        const together = this.lossesAtMomentOf(loss);
        if (!this.isCut(together)) {
            return [];
        }
        const ofCut = this.losses.filter(each => each.isInRate && together.includes(each.loss));
        ofCut.forEach(each => (each.isInRate = false));
        this.rate.discountLosses(ofCut.length);
        return together;
    }

    /**
     * @param loss A loss that was recorded.
     * @returns The largest number of losses, with this one, that may have happened at one moment.
     */
    lossesAtMomentOf(loss: T): readonly T[] {
        const overlapping = this.losses
            .map(each => each.loss)
            .filter(each => each.heardAt <= loss.silentBy && each.silentBy >= loss.heardAt);
        let together: readonly T[] = [loss];
        for (const moment of new Set(overlapping.map(each => Math.max(loss.heardAt, each.heardAt)))) {
            const atMoment = overlapping.filter(each => isAt(each, moment));
            together = atMoment.length > together.length ? atMoment : together;
        }
        return together;
    }

    private startsBetween(from: number, until: number): number {
        return this.starts.reduce((sum, { at, count }) => sum + (from <= at && at <= until ? count : 0), 0);
    }

    private isCut(together: readonly T[]): boolean {
        const losses = together.filter(each => each.isExperiment !== true);
        const count = new Set(losses.map(each => each.worker)).size;
        if (count < MIN_WORKERS) {
            return false;
        }
        const until = Math.max(...losses.map(each => each.silentBy));
        const from = Math.min(until - MIN_INDEPENDENT_MS, ...losses.map(each => each.heardAt));
        const crashes = this.workers * this.rate.expectedWithin(until - from, count);
        const deadlyStarts = DEADLY_START_RATIO * this.startsBetween(from, until);
        // The tasks of one job may all crash their workers, at the same time: together they count as one cause.
        const causes = count - Math.max(0, mostOfOneJob(losses) - 1);
        return probabilityOfAtLeast(causes, crashes + deadlyStarts) <= MAX_COINCIDENCE_PROBABILITY;
    }
}

function isAt({ heardAt, silentBy }: WorkerLoss, moment: number): boolean {
    return heardAt <= moment && moment <= silentBy;
}

/** @returns Largest number of lost workers that had just started tasks of the same job. */
function mostOfOneJob(losses: readonly WorkerLoss[]): number {
    const workers = new Map<ActiveJob, Set<string>>();
    for (const { worker, jobs } of losses) {
        jobs.forEach(job => workers.set(job, (workers.get(job) ?? new Set()).add(worker)));
    }
    return Math.max(0, ...[...workers.values()].map(each => each.size));
}

/** @returns Probability of at least that many events where some are expected, by the Poisson distribution. */
function probabilityOfAtLeast(count: number, expected: number): number {
    let probability = Math.exp(-expected);
    let fewer = 0;
    for (let events = 0; events < count; events++) {
        fewer += probability;
        probability *= expected / (events + 1);
    }
    return 1 - fewer;
}
