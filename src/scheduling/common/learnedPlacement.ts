import { Candidate } from "./candidate";
import { InterferenceModel } from "./interferenceModel";
import { PlacementPolicy } from "./placementPolicy";
import { PolicyWeights } from "./policyWeights";
import { Task } from "./task";
import { TaskSize } from "./taskEntry";

/** Weight of leaving a worker's resources unevenly used, against one unit of slowdown. */
const IMBALANCE_WEIGHT = 0.05;

/** Weight of having a family in one rack and failure domain, against one unit of slowdown. */
const SPREAD_WEIGHT = 0.05;

/** Weight of using up accelerators with a task that needs none. */
const ACCELERATOR_WASTE_WEIGHT = 0.1;

/** Weight of a load that is not learnt to hurt anybody, against one unit of slowdown. */
const CROWDING_WEIGHT = 0.1;

/** Run time of a task that is as likely as not to meet a surge of the services, in ms. */
const EXPOSURE_MS = 3_600_000;

/** Places a task where the slowdown that it causes and suffers, and the risk of evicting it, cost least. */
export class LearnedPlacement extends PlacementPolicy {
    private constructor(
        private readonly interference: InterferenceModel,
        private readonly weights: () => PolicyWeights,
    ) {
        super();
    }

    /**
     * @param interference What was learnt of the pairs of classes.
     * @param weights Answers the weights in force.
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
     * @param size What will be reserved for it.
     * @param candidate A worker with room for it.
     * @returns Expected cost of placing it there; lower is better.
     */
    cost(task: Task, size: TaskSize, candidate: Candidate): number {
        const weights = this.weights();
        return (
            weights.tailLatency * this.harmToServices(task, candidate) +
            weights.throughput * this.harmToBatch(task, candidate) +
            weights.evictions * evictionRisk(task, candidate) +
            CROWDING_WEIGHT * crowding(size, candidate) +
            SPREAD_WEIGHT * candidate.spread.share(task.request.family, candidate.rack, candidate.failureDomain) +
            IMBALANCE_WEIGHT * imbalance(size, candidate) +
            ACCELERATOR_WASTE_WEIGHT * acceleratorWaste(size, candidate)
        );
    }

    private harmToServices(task: Task, candidate: Candidate): number {
        const { family } = task.request;
        return candidate.services.reduce((sum, service) => {
            const before = this.interference.sum(service.name, candidate.batch);
            return sum + (1 + service.load) * this.addedSlowdown(before, service.name, family);
        }, 0);
    }

    private harmToBatch(task: Task, candidate: Candidate): number {
        const { family } = task.request;
        const beside = [...candidate.batch, ...candidate.services];
        const suffered = Math.expm1(this.interference.sum(family, beside));
        const caused = candidate.batch.reduce((sum, each) => {
            const before = this.interference.sum(each.name, beside);
            return sum + each.load * this.addedSlowdown(before, each.name, family);
        }, 0);
        return suffered + caused;
    }

    /** Effects multiply, so one more aggressor costs more where there are some already. */
    private addedSlowdown(before: number, victim: string, aggressor: string): number {
        return Math.exp(before) * Math.expm1(this.interference.effect(victim, aggressor));
    }
}

/** A long task is more likely to be there when the services take their slots back. */
function evictionRisk(task: Task, candidate: Candidate): number {
    const exposure = task.request.durationMs / (task.request.durationMs + EXPOSURE_MS);
    return candidate.servicePressure * exposure;
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
