/** Whether a job is admitted: `full` until other jobs end, `too-large` for good. */
export type JobVerdict = "admitted" | "full" | "too-large";

/**
 * Decides whether there is memory for one more job. Answers the load of jobs of legal size that are handed in faster than they
 * end: every instance keeps all of them, and the leader their tasks.
 */
export class JobAdmission {
    /** Memory of jobs that are being stored, and are not known yet. */
    private pendingBytes = 0;

    private constructor(
        private readonly maxBytes: number,
        private readonly heldBytes: () => number,
    ) {}

    /** @param maxBytes Memory for jobs. @param heldBytes Returns what known jobs take of it. @returns The admission. */
    static create(maxBytes: number, heldBytes: () => number): JobAdmission {
        return new JobAdmission(maxBytes, heldBytes);
    }

    /** @param bytes Memory that a job would take. @returns Whether it is admitted. */
    judge(bytes: number): JobVerdict {
        if (bytes > this.maxBytes) {
            return "too-large";
        }
        return this.heldBytes() + this.pendingBytes + bytes > this.maxBytes ? "full" : "admitted";
    }

    /** Takes note that a job is being stored. */
    begin(bytes: number): void {
        this.pendingBytes += bytes;
    }

    /** Takes note that it has been stored, or has not. */
    end(bytes: number): void {
        this.pendingBytes -= bytes;
    }
}
