import { JobInstance } from "../../../host/common/jobInstance";
import { JobInstanceEffect, JobInstanceEvent } from "../../../host/common/jobInstanceEvents";
import { TrialSchedule } from "../trialSchedule";
import { WorkMeter } from "./workMeter";

const TICK_MS = 25;

const WALL_START_MS = 1_700_000_000_000;

/**
 * The event loop of an instance for which work takes time. As in the runtime, a turn of the loop handles the timers that are
 * due, then every answer that has arrived by then; what arrives meanwhile waits for the next turn.
 */
export class BusyLoop {
    private arrived: JobInstanceEvent[] = [];
    private turn: (() => number)[] = [];
    private timers: { readonly at: number; readonly perform: () => void }[] = [];
    private nextTickAt: number;
    private isBusy = false;

    /** Whether the process runs. */
    isAlive = true;
    /** Whether work takes time. */
    isCharged = false;

    constructor(
        readonly instance: JobInstance,
        private readonly schedule: TrialSchedule,
        private readonly meter: WorkMeter,
        private readonly perform: (effect: JobInstanceEffect) => void,
    ) {
        this.nextTickAt = schedule.now + TICK_MS;
        this.instance.start(schedule.now).forEach(perform);
        this.wakeAt(this.nextTickAt);
    }

    /** Hands in an answer or a call. */
    post(event: JobInstanceEvent): void {
        this.arrived.push(event);
        this.run();
    }

    /** Performs an action in the turn of the loop that follows a delay. */
    setTimer(delayMs: number, perform: () => void): void {
        const at = this.schedule.now + delayMs;
        this.timers.push({ at, perform });
        this.wakeAt(at);
    }

    private wakeAt(at: number): void {
        this.schedule.add(at - this.schedule.now, () => this.run());
    }

    private run(): void {
        if (this.isBusy || !this.isAlive) {
            return;
        }
        if (this.turn.length === 0) {
            this.beginTurn();
        }
        const step = this.turn.shift();
        if (step !== undefined) {
            this.isBusy = true;
            const costMs = step();
            this.schedule.add(this.isCharged ? costMs : 0, () => {
                this.isBusy = false;
                this.run();
            });
        }
    }

    private beginTurn(): void {
        const { now } = this.schedule;
        const due = this.timers.filter(each => each.at <= now);
        this.timers = this.timers.filter(each => each.at > now);
        this.turn.push(
            ...due.map(
                ({ perform }) =>
                    () => (perform(), 0),
            ),
        );
        if (now >= this.nextTickAt) {
            this.turn.push(() => this.tick());
            this.nextTickAt = Infinity;
        }
        this.turn.push(...this.arrived.map(event => () => this.dispatch(event)));
        this.arrived = [];
    }

    private tick(): number {
        const costMs = this.dispatch({ kind: "tick" });
        this.nextTickAt = this.schedule.now + TICK_MS;
        this.wakeAt(this.nextTickAt);
        return costMs;
    }

    private dispatch(event: JobInstanceEvent): number {
        const { now } = this.schedule;
        const effects = this.instance.dispatch(event, now, WALL_START_MS + now);
        const costMs = this.meter.take(event, effects);
        // A process that is killed meanwhile sends nothing.
        const send = () => this.isAlive && effects.forEach(effect => this.perform(effect));
        this.schedule.add(this.isCharged ? costMs : 0, send);
        return costMs;
    }
}
