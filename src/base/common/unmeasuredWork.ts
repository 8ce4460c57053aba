import { WorkMeter } from "./workMeter";

/** Does work without measuring it. */
export class UnmeasuredWork extends WorkMeter<string> {
    private constructor() {
        super();
    }

    /** @returns A meter that measures nothing. */
    static create(): UnmeasuredWork {
        return new UnmeasuredWork();
    }

    override measure<T>(_kind: string, work: () => T): T {
        return work();
    }

    override lastMs(): number {
        return 0;
    }
}
