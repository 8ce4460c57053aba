import { TaskRequest, TaskSize } from "./taskEntry";
import { UsageModel } from "./usageModel";

/** Believes what is declared. */
export class DeclaredUsage extends UsageModel {
    private constructor() {
        super();
    }

    /** @returns The model. */
    static create(): DeclaredUsage {
        return new DeclaredUsage();
    }

    override reserve(request: TaskRequest): TaskSize {
        const { cpus, memoryGb, accelerators } = request;
        return { cpus, memoryGb, accelerators };
    }

    override observe(): void {
        // Declarations do not change with use.
    }
}
