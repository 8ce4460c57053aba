import { TaskRequest, TaskSize } from "./taskEntry";

/** Measured usage of one running attempt. */
export interface UsageSample {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Estimates what a task needs. */
export abstract class UsageModel {
    /**
     * @param request The task as declared.
     * @returns What to reserve for it.
     */
    abstract reserve(request: TaskRequest): TaskSize;

    /**
     * Learns from a measurement.
     * @param family Family of the measured task.
     * @param sample What the task used.
     */
    abstract observe(family: string, sample: UsageSample): void;
}
