import { readdirSync, readFileSync } from "node:fs";

const SAMPLE_INTERVAL_MS = 25;
const KB_PER_MB = 1_024;

/** Watches what a process uses of its machine, from outside. */
export class ProcessUse {
    private readonly timer: NodeJS.Timeout;
    /** Most descriptors that were open at once. */
    mostDescriptors = 0;

    private constructor(private readonly pid: number) {
        this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
    }

    /** @param pid ID of the process. @returns The watch, which has begun. */
    static create(pid: number): ProcessUse {
        return new ProcessUse(pid);
    }

    /** Resident memory now, in MB; `undefined` once the process has ended. */
    get residentMb(): number | undefined {
        return this.readStatus("VmRSS");
    }

    /** Most memory that was resident at once, in MB; `undefined` once the process has ended. */
    get mostResidentMb(): number | undefined {
        return this.readStatus("VmHWM");
    }

    /** Ends the watch. */
    dispose(): void {
        clearInterval(this.timer);
    }

    private sample(): void {
        try {
            this.mostDescriptors = Math.max(this.mostDescriptors, readdirSync(`/proc/${this.pid}/fd`).length);
        } catch {
            // The process has ended, which its owner reports.
            this.dispose();
        }
    }

    private readStatus(field: string): number | undefined {
        try {
            const [, kb] = new RegExp(`^${field}:\\s+(\\d+) kB`, "m").exec(
                readFileSync(`/proc/${this.pid}/status`, "utf8"),
            )!;
            return Number(kb) / KB_PER_MB;
        } catch {
            return undefined;
        }
    }
}
