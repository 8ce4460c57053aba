import { ColocatedRun, ColocationModel, RunCondition } from "./colocationModel";

/** Runs without influence on each other, all at full speed. */
export class IndependentRuns extends ColocationModel {
    private constructor() {
        super();
    }

    /** @returns The model. */
    static create(): IndependentRuns {
        return new IndependentRuns();
    }

    override conditions(runs: readonly ColocatedRun[]): RunCondition[] {
        return runs.map(() => ({ rate: 1, latencyOrUsage: 0 }));
    }
}
