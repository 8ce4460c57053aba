import { TaskRequest, TaskSize } from "./taskEntry";

/** Measured resource usage of one running attempt. */
export interface UsageSample {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Estimates the resources that a task needs. */
export abstract class UsageModel {
    /**
     * @param request The task as declared.
     * @param capacities What each worker that may run the task has for tasks while it runs none.
     * @returns Resources to reserve for it. If the declaration fits on one of the workers, these do, too.
     */
    abstract reserve(request: TaskRequest, capacities: readonly TaskSize[]): TaskSize;

    /**
     * Updates the estimate from a measurement.
     * @param family Family of the measured task.
     * @param sample Resources that the task used.
     */
    abstract observe(family: string, sample: UsageSample): void;
}
