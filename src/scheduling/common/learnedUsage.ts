import { TaskRequest, TaskSize } from "./taskEntry";
import { UsageModel, UsageSample } from "./usageModel";

/** Weight of the newest sample in a mean. */
const SMOOTHING = 0.05;

/** Standard deviations above the mean that are reserved. */
const SAFETY_DEVIATIONS = 3;

/** Samples that outweigh the declaration by half. */
const PRIOR_SAMPLES = 8;

/** Families remembered; the one learnt longest ago is forgotten first. */
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
 * Learns the usage of each family from lagging reports, and reserves the mean plus three standard deviations,
 * shrunk towards the declaration while there are few samples.
 */
export class LearnedUsage extends UsageModel {
    private readonly families = new Map<string, FamilyUsage>();

    private constructor(private readonly mayShrink: () => boolean) {
        super();
    }

    /**
     * @param mayShrink Tells whether less may be reserved than is declared. Where the tail weighs most, what is
     * declared in excess stays free for the services.
     * @returns A model that has learnt nothing.
     */
    static create(mayShrink: () => boolean = () => true): LearnedUsage {
        return new LearnedUsage(mayShrink);
    }

    override reserve(request: TaskRequest): TaskSize {
        const usage = this.families.get(request.family);
        const { accelerators } = request;
        if (usage === undefined) {
            return { cpus: request.cpus, memoryGb: request.memoryGb, accelerators };
        }
        const trust = usage.samples / (usage.samples + PRIOR_SAMPLES);
        const cpus = blend(request.cpus, upperBound(usage.cpus), trust);
        const memoryGb = blend(request.memoryGb, upperBound(usage.memoryGb), trust);
        if (this.mayShrink()) {
            return { cpus, memoryGb, accelerators };
        }
        return { cpus: Math.max(cpus, request.cpus), memoryGb: Math.max(memoryGb, request.memoryGb), accelerators };
    }

    override observe(family: string, sample: UsageSample): void {
        const usage = this.families.get(family) ?? {
            samples: 0,
            cpus: { mean: sample.cpus, variance: 0 },
            memoryGb: { mean: sample.memoryGb, variance: 0 },
        };
        usage.samples += 1;
        learn(usage.cpus, sample.cpus);
        learn(usage.memoryGb, sample.memoryGb);
        this.families.delete(family);
        this.families.set(family, usage);
        if (this.families.size > MAX_FAMILIES) {
            this.families.delete(this.families.keys().next().value!);
        }
    }
}

function learn(estimate: Estimate, value: number): void {
    const error = value - estimate.mean;
    estimate.mean += SMOOTHING * error;
    estimate.variance = (1 - SMOOTHING) * (estimate.variance + SMOOTHING * error * error);
}

function upperBound(estimate: Estimate): number {
    return estimate.mean + SAFETY_DEVIATIONS * Math.sqrt(estimate.variance);
}

/** Rounded to hundredths, so that records stay small. */
function blend(declared: number, learned: number, trust: number): number {
    return Math.ceil((declared + trust * (learned - declared)) * 100) / 100;
}
