/** An action at a virtual time; actions at the same time are performed in the order in which they were scheduled. */
interface ScheduledAction {
    readonly at: number;
    readonly sequence: number;
    readonly perform: () => void;
}

/** The virtual clock of a trial and the actions that are due on it. */
export class TrialSchedule {
    private actions: ScheduledAction[] = [];
    private lastSequence = 0;
    private time = 0;

    private constructor() {}

    /** @returns A schedule at time 0 without actions. */
    static create(): TrialSchedule {
        return new TrialSchedule();
    }

    /** Virtual time in ms. */
    get now(): number {
        return this.time;
    }

    /** Schedules an action. @param delayMs Time until then, in ms. @param perform The action. */
    add(delayMs: number, perform: () => void): void {
        this.lastSequence += 1;
        this.actions.push({ at: this.time + delayMs, sequence: this.lastSequence, perform });
    }

    /** Performs the actions that are due up to a time. @param endMs The time in ms. */
    runUntil(endMs: number): void {
        while (this.actions.length > 0) {
            this.actions.sort((a, b) => a.at - b.at || a.sequence - b.sequence);
            const [next] = this.actions;
            if (next.at > endMs) {
                return;
            }
            this.actions.shift();
            this.time = next.at;
            next.perform();
        }
    }
}
