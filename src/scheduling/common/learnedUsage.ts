import { TaskRequest, TaskSize } from "./taskEntry";
import { UsageModel, UsageSample } from "./usageModel";

/** Weight of the newest sample in a mean. */
const SMOOTHING_RATIO = 0.05;

/** Standard deviations above the mean that are reserved. */
const SAFETY_DEVIATIONS = 3;

/** Number of samples whose weight equals that of the declaration. */
const PRIOR_SAMPLES = 8;

/** Families kept; the least recently updated one is dropped first. */
const MAX_FAMILIES = 4_096;

interface Estimate {
    mean: number;
    variance: number;
}

interface FamilyUsage {
    samples: number;
    readonly cpus: Estimate;
    readonly memoryGb: Estimate;
}

/**
 * Estimates the usage of each family from lagging reports, and reserves the mean plus three standard deviations,
 * weighted towards the declaration while there are few samples. It reserves at most a whole worker: a task that fits
 * nowhere is never measured, so that its estimate would not change again.
 */
export class LearnedUsage extends UsageModel {
    private readonly families = new Map<string, FamilyUsage>();

    private constructor(private readonly canReserveLess: () => boolean) {
        super();
    }

    /**
     * @param canReserveLess Returns whether less than the declaration may be reserved. When tail latency outweighs
     * throughput it may not, so that over-declared resources stay free for the services.
     * @returns A model without samples.
     */
    static create(canReserveLess: () => boolean = () => true): LearnedUsage {
        return new LearnedUsage(canReserveLess);
    }

    override reserve(request: TaskRequest, capacities: readonly TaskSize[]): TaskSize {
        return clamp(this.estimate(request), request, capacities);
    }

    override observe(family: string, sample: UsageSample): void {
        const usage = this.families.get(family) ?? {
            samples: 0,
            cpus: { mean: sample.cpus, variance: 0 },
            memoryGb: { mean: sample.memoryGb, variance: 0 },
        };
        usage.samples += 1;
        updateEstimate(usage.cpus, sample.cpus);
        updateEstimate(usage.memoryGb, sample.memoryGb);
        this.families.delete(family);
        this.families.set(family, usage);
        if (this.families.size > MAX_FAMILIES) {
            this.families.delete(this.families.keys().next().value!);
        }
    }

    private estimate(request: TaskRequest): TaskSize {
        const usage = this.families.get(request.family);
        const { accelerators } = request;
        if (usage === undefined) {
            return { cpus: request.cpus, memoryGb: request.memoryGb, accelerators };
        }
        const confidence = usage.samples / (usage.samples + PRIOR_SAMPLES);
        const cpus = blend(request.cpus, upperBound(usage.cpus), confidence);
        const memoryGb = blend(request.memoryGb, upperBound(usage.memoryGb), confidence);
        if (this.canReserveLess()) {
            return { cpus, memoryGb, accelerators };
        }
        return { cpus: Math.max(cpus, request.cpus), memoryGb: Math.max(memoryGb, request.memoryGb), accelerators };
    }
}

function updateEstimate(estimate: Estimate, value: number): void {
    const error = value - estimate.mean;
    estimate.mean += SMOOTHING_RATIO * error;
    estimate.variance = (1 - SMOOTHING_RATIO) * (estimate.variance + SMOOTHING_RATIO * error * error);
}

function upperBound(estimate: Estimate): number {
    return estimate.mean + SAFETY_DEVIATIONS * Math.sqrt(estimate.variance);
}

/** Limits an estimate to the worker on which most of it fits, of those that have room for what is certainly needed. */
function clamp(estimate: TaskSize, declared: TaskSize, capacities: readonly TaskSize[]): TaskSize {
    if (capacities.some(each => covers(each, estimate))) {
        return estimate;
    }
    const needed = smaller(estimate, declared);
    const clamped = capacities.filter(each => covers(each, needed)).map(each => smaller(estimate, each));
    // Unlike CPU, memory can't be throttled.
    clamped.sort((a, b) => b.memoryGb - a.memoryGb || b.cpus - a.cpus);
    return clamped[0] ?? estimate;
}

function covers(capacity: TaskSize, size: TaskSize): boolean {
    return (
        capacity.cpus >= size.cpus && capacity.memoryGb >= size.memoryGb && capacity.accelerators >= size.accelerators
    );
}

function smaller(a: TaskSize, b: TaskSize): TaskSize {
    return {
        cpus: Math.min(a.cpus, b.cpus),
        memoryGb: Math.min(a.memoryGb, b.memoryGb),
        accelerators: Math.min(a.accelerators, b.accelerators),
    };
}

/** Rounded up to hundredths, so that records stay small. */
function blend(declared: number, learned: number, confidence: number): number {
    return Math.ceil((declared + confidence * (learned - declared)) * 100) / 100;
}
