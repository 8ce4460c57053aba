import { TaskRequest, TaskSize } from "./taskEntry";
import { UsageModel } from "./usageModel";

/** Reserves the declared resources. */
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
        // Reservations do not depend on usage.
    }
}
