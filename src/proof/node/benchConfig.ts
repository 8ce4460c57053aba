import { DEFAULT_WEIGHTS } from "../../scheduling/common/policyWeights";
import { SchedulingConfig } from "../../scheduling/common/schedulingConfig";
import { TeamQuota } from "../../scheduling/common/teamQuota";

/** Configuration of a benchmark: nothing is drained, and all teams have the same quota. */
export class BenchConfig extends SchedulingConfig {
    /** @returns The configuration. */
    static create(): BenchConfig {
        return new BenchConfig();
    }

    override weights() {
        return DEFAULT_WEIGHTS;
    }
    override quota(team: string): TeamQuota {
        return { team, guaranteedSlots: 60, maxSlots: 2_000 };
    }
    override serviceSlot() {
        return { cpus: 2, memoryGb: 4 };
    }
    override minServiceSlots() {
        return 2;
    }
    override maxRequestMs() {
        return 10_000;
    }
    override isDrained() {
        return false;
    }
}
