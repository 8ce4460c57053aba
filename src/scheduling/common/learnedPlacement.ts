import { Candidate } from "./candidate";
import { InterferenceModel } from "./interferenceModel";
import { PlacementPolicy } from "./placementPolicy";
import { PolicyWeights } from "./policyWeights";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Cost of using a worker's CPU and memory unevenly, relative to one unit of slowdown. */
const IMBALANCE_WEIGHT = 0.05;

/** Cost of concentrating a family in one rack and failure domain, relative to one unit of slowdown. */
const CONCENTRATION_WEIGHT = 0.05;

/** Cost of placing a task without accelerators on a worker that has some. */
const ACCELERATOR_WASTE_WEIGHT = 0.1;

/** Cost of a worker's CPU load apart from its estimated interference, relative to one unit of slowdown. */
const CROWDING_WEIGHT = 0.1;

/** Run time at which a task is assumed to meet a load surge of the services with a probability of one half. */
const HALF_EXPOSURE_MS = 3_600_000;

/** Places a task where the slowdown that it causes and suffers and its risk of eviction have the lowest cost. */
export class LearnedPlacement extends PlacementPolicy {
    private constructor(
        private readonly interference: InterferenceModel,
        private readonly weights: () => PolicyWeights,
    ) {
        super();
    }

    /**
     * @param interference Estimated interference between classes of work.
     * @param weights Returns the weights in force.
     * @returns The policy.
     */
    static create(interference: InterferenceModel, weights: () => PolicyWeights): LearnedPlacement {
        return new LearnedPlacement(interference, weights);
    }

    override choose(task: Task, size: TaskSize, candidates: readonly Candidate[]): Candidate | undefined {
        let best: Candidate | undefined;
        let lowest = Number.POSITIVE_INFINITY;
        for (const candidate of candidates) {
            const cost = this.cost(task, size, candidate);
            if (cost < lowest) {
                lowest = cost;
                best = candidate;
            }
        }
        return best;
    }

    /**
     * @param task The task.
     * @param size Resources that will be reserved for it.
     * @param candidate A worker with enough free capacity for it.
     * @returns Expected cost of placing it there; lower is better.
     */
    cost(task: Task, size: TaskSize, candidate: Candidate): number {
        const weights = this.weights();
        return (
            weights.tailLatency * this.interferenceWithServices(task, candidate) +
            weights.throughput * this.interferenceWithBatch(task, candidate) +
            weights.evictions * evictionRisk(task, candidate) +
            CROWDING_WEIGHT * crowding(size, candidate) +
            CONCENTRATION_WEIGHT *
                candidate.spread.concentration(task.request.family, candidate.rack, candidate.failureDomain) +
            IMBALANCE_WEIGHT * imbalance(size, candidate) +
            ACCELERATOR_WASTE_WEIGHT * acceleratorWaste(size, candidate)
        );
    }

    private interferenceWithServices(task: Task, candidate: Candidate): number {
        const { family } = task.request;
        return candidate.services.reduce((sum, service) => {
            const logSlowdown = this.interference.expectedLogSlowdown(service.name, candidate.batch);
            return sum + (1 + service.load) * this.addedSlowdown(logSlowdown, service.name, family);
        }, 0);
    }

    private interferenceWithBatch(task: Task, candidate: Candidate): number {
        const { family } = task.request;
        const colocated = [...candidate.batch, ...candidate.services];
        const suffered = Math.expm1(this.interference.expectedLogSlowdown(family, colocated));
        const caused = candidate.batch.reduce((sum, each) => {
            const logSlowdown = this.interference.expectedLogSlowdown(each.name, colocated);
            return sum + each.load * this.addedSlowdown(logSlowdown, each.name, family);
        }, 0);
        return suffered + caused;
    }

    /** Slowdowns multiply, so another aggressor costs more where the victim is already slowed down. */
    private addedSlowdown(logSlowdown: number, victim: string, aggressor: string): number {
        return Math.exp(logSlowdown) * Math.expm1(this.interference.effect(victim, aggressor));
    }
}

/** A longer task is more likely to be running when the services reclaim their slots. */
function evictionRisk(task: Task, candidate: Candidate): number {
    const exposure = task.request.durationMs / (task.request.durationMs + HALF_EXPOSURE_MS);
    return candidate.serviceUtilization * exposure;
}

function crowding(size: TaskSize, candidate: Candidate): number {
    return 1 - (candidate.free.cpus - size.cpus) / candidate.capacity.cpus;
}

function imbalance(size: TaskSize, candidate: Candidate): number {
    const cpus = (candidate.free.cpus - size.cpus) / candidate.capacity.cpus;
    const memory = (candidate.free.memoryGb - size.memoryGb) / candidate.capacity.memoryGb;
    return Math.abs(cpus - memory);
}

function acceleratorWaste(size: TaskSize, candidate: Candidate): number {
    return size.accelerators === 0 && candidate.capacity.accelerators > 0 ? 1 : 0;
}
