import { StepSpec } from "../../../jobs/common/jobSpec";
import { PlacementPolicy } from "./placementPolicy";
import { ANY_WORKER_PERCENT } from "../waits/waitPolicy";
import { WorkerContact } from "../workers/workerContact";
import { WorkerForecast } from "../workers/workerForecast";

/** Tolerance of the bounds for rounding, as a ratio: a worker at a bound is assessed. */
const ROUNDING_RATIO = 1e-6;

/** Returns the forecast of a worker, by its position, as it is after the placements of the pass so far. */
export type ForecastAt = (position: number) => WorkerForecast;

/** Bounds of the workers for the tasks of one image and horizon, by position of the worker. */
export interface KindBounds {
    /** Version of the worker's forecast with which the bounds were computed; 0 before. */
    readonly versions: number[];
    /** No task that requests more CPU has full speed there, in thousandths of a core. */
    readonly fullSpeedMillis: number[];
    /** Whether tasks may run below full speed there. */
    readonly isOpenBelow: boolean[];
    readonly memoryMb: number[];
}

/**
 * Bounds of what the workers can take in one pass. Most waiting tasks fit nowhere; a comparison with the bounds shows that
 * without an assessment of each worker. The bounds depend on the image of a task and on its duration, not on its request,
 * so that they are computed once for many steps, and again only for workers on which something was placed.
 */
export class CapacityBounds {
    /** By image, then by horizon. */
    private readonly kinds = new Map<string | undefined, Map<number, KindBounds>>();

    private constructor(
        private readonly policy: PlacementPolicy,
        private readonly workers: readonly WorkerContact[],
        private readonly versions: readonly number[],
        private readonly forecastAt: ForecastAt,
    ) {}

    /**
     * @param policy Policy that assesses the placements.
     * @param workers The workers.
     * @param versions Versions of their forecasts, which the caller increases from 1 on as forecasts change.
     * @param forecastAt Returns the forecast of a worker.
     * @returns The bounds.
     */
    static create(
        policy: PlacementPolicy,
        workers: readonly WorkerContact[],
        versions: readonly number[],
        forecastAt: ForecastAt,
    ): CapacityBounds {
        return new CapacityBounds(policy, workers, versions, forecastAt);
    }

    /** @returns The bounds for a step. */
    boundsOf(step: StepSpec): KindBounds {
        const image = this.policy.boundsImage(step);
        const ofImage = this.kinds.get(image) ?? new Map<number, KindBounds>();
        this.kinds.set(image, ofImage);
        const horizonS = this.policy.boundsHorizonS(step);
        const known = ofImage.get(horizonS);
        if (known !== undefined) {
            return known;
        }
        const versions = this.workers.map(() => 0);
        const kind = { versions, fullSpeedMillis: [], isOpenBelow: [], memoryMb: [] };
        ofImage.set(horizonS, kind);
        return kind;
    }

    /**
     * @param kind The bounds for a step.
     * @param step The step.
     * @param minSpeedPercent Lowest speed at which its tasks may run, in percent of full speed.
     * @param from Position from which to search.
     * @returns Position of the next worker that may be suitable for the step, or the number of workers if there is none.
     */
    next(kind: KindBounds, step: StepSpec, minSpeedPercent: number, from: number): number {
        const { cpuMillis, memoryMb } = step.request;
        const isSlowAllowed = minSpeedPercent < 100;
        const isAnyAllowed = minSpeedPercent === ANY_WORKER_PERCENT;
        const { length } = this.workers;
        for (let position = from; position < length; position++) {
            if (kind.versions[position] !== this.versions[position]) {
                this.update(kind, step, position);
            }
            const isSlowOpen = isAnyAllowed || (isSlowAllowed && kind.isOpenBelow[position]);
            const hasCpu = cpuMillis <= kind.fullSpeedMillis[position] || isSlowOpen;
            if (hasCpu && memoryMb <= kind.memoryMb[position]) {
                return position;
            }
        }
        return length;
    }

    private update(kind: KindBounds, step: StepSpec, position: number): void {
        const { policy } = this;
        const worker = this.workers[position];
        const forecast = this.forecastAt(position);
        kind.versions[position] = this.versions[position];
        const millis = policy.fullSpeedMillis(step, worker, forecast);
        kind.fullSpeedMillis[position] = millis + Math.abs(millis) * ROUNDING_RATIO;
        kind.isOpenBelow[position] = policy.mayOpenBelowFullSpeed(worker, forecast);
        kind.memoryMb[position] = forecast.freeCapacity.memoryMb;
    }
}
