import { StepSpec } from "./jobSpec";

/** Estimated memory of a task that is open. */
export const TASK_BYTES = 1_024;

/** The same of a job besides its texts, of each step, of each step that it waits for, and of the record that a step of an occurrence is done. */
const JOB_BYTES = 2_048;
const STEP_BYTES = 1_024;
const DEPENDENCY_BYTES = 16;
const DONE_BYTES = 128;

/** Memory of a character. */
const CHARACTER_BYTES = 2;

/** What a job takes memory for. */
export interface JobSize {
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly occurrences: number;
}

/**
 * Estimates the memory of a job.
 * @param job The job.
 * @param isOpen Whether it has tasks: those of one occurrence. `OccurrenceBudget` bounds the others.
 * @returns Memory in bytes.
 */
export function estimateJobBytes({ payload, steps, occurrences }: JobSize, isOpen: boolean): number {
    const stepBytes = steps.reduce((sum, step) => sum + bytesOfStep(step, isOpen), 0);
    const doneBytes = isOpen ? occurrences * steps.length * DONE_BYTES : 0;
    return JOB_BYTES + payload.length * CHARACTER_BYTES + stepBytes + doneBytes;
}

function bytesOfStep(step: StepSpec, isOpen: boolean): number {
    const texts = [step.requiredLabel, step.dataRack, step.image].reduce((sum, each) => sum + (each?.length ?? 0), 0);
    const taskBytes = isOpen ? step.tasks * TASK_BYTES : 0;
    return STEP_BYTES + step.after.length * DEPENDENCY_BYTES + texts * CHARACTER_BYTES + taskBytes;
}

/** Memory that known jobs take. */
export class JobMemory {
    private readonly bytesById = new Map<string, number>();
    private total = 0;

    private constructor() {}

    /** @returns Memory without jobs. */
    static create(): JobMemory {
        return new JobMemory();
    }

    /** Estimated memory of all jobs, in bytes. */
    get bytes(): number {
        return this.total;
    }

    /** Records what a job takes from now on. @param id Identifier. @param bytes Memory in bytes; 0 for none. */
    record(id: string, bytes: number): void {
        this.total += bytes - (this.bytesById.get(id) ?? 0);
        if (bytes > 0) {
            this.bytesById.set(id, bytes);
        } else {
            this.bytesById.delete(id);
        }
    }
}
