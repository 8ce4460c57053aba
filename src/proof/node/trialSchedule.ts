/** An action at a virtual time; actions at the same time are performed in the order in which they were scheduled. */
interface ScheduledAction {
    readonly at: number;
    readonly perform: () => void;
}

/** The virtual clock of a trial and the actions that are due on it. */
export class TrialSchedule {
    /** In the order in which they are performed. */
    private readonly actions: ScheduledAction[] = [];
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
        const at = this.time + delayMs;
        let [low, high] = [0, this.actions.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.actions[middle].at <= at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        this.actions.splice(low, 0, { at, perform });
    }

    /** Performs the actions that are due up to a time. @param endMs The time in ms. */
    runUntil(endMs: number): void {
        while (this.actions.length > 0) {
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
