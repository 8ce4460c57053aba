import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { PlaceReason } from "./placePolicy";
import chartText from "./placeWait.chart.yaml";

type PlaceWaitState = "waiting" | "given-up" | "over";
type PlaceWaitEvent = "placed" | "stopped" | "dropped";
type PlaceWaitAction = "recordPlaced" | "recordStopped";

/** Data of an event. */
interface PlaceWaitMoment {
    readonly now: number;
    readonly reason: PlaceReason;
}

const chart = ChartRegistry.instance.register(
    ChartLoader.load<PlaceWaitState, PlaceWaitEvent, never, PlaceWaitAction>(chartText, "placeWait.chart.yaml", {
        states: ["waiting", "given-up", "over"],
        events: ["placed", "stopped", "dropped"],
        guards: [],
        actions: ["recordPlaced", "recordStopped"],
    }),
);

/** How a wait has ended. */
export interface PlaceWaitEnd {
    readonly rack: string;
    readonly waitedMs: number;
    /** Why it was given up, or `room` if all tasks have started. */
    readonly reason: PlaceReason;
}

/** Called when a wait has ended. */
export type OnPlaceWaitEnd = (end: PlaceWaitEnd) => void;

/** The wait of a step's tasks for a rack. */
export class PlaceWait {
    private readonly machine: Machine<PlaceWaitMoment, PlaceWaitState, PlaceWaitEvent, never, PlaceWaitAction>;
    /** Number of the latest pass in which the tasks waited. */
    pass = 0;
    private stoppedFor: PlaceReason | undefined;
    private stoppedAt: number | undefined;

    private constructor(
        readonly rack: string,
        private readonly since: number,
        onEnd: OnPlaceWaitEnd,
    ) {
        const end = ({ now, reason }: PlaceWaitMoment) => onEnd({ rack, waitedMs: now - since, reason });
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                recordPlaced: end,
                recordStopped: moment => {
                    this.stoppedFor = moment.reason;
                    this.stoppedAt = moment.now;
                    end(moment);
                },
            },
        });
    }

    /**
     * @param rack The rack.
     * @param since Time (ms) at which the wait begins.
     * @param onEnd Called when all tasks have started, or the wait is given up.
     * @returns The wait.
     */
    static create(rack: string, since: number, onEnd: OnPlaceWaitEnd): PlaceWait {
        return new PlaceWait(rack, since, onEnd);
    }

    /** Why the wait was given up, if it was. */
    get givenUpFor(): PlaceReason | undefined {
        return this.stoppedFor;
    }

    /** @param now Time in ms. @returns Time since it began, or until it was given up, in ms. */
    waitedMs(now: number): number {
        return (this.stoppedAt ?? now) - this.since;
    }

    /** Handles the start of the last waiting task. @param now Time in ms. */
    handlePlaced(now: number): void {
        this.machine.fire("placed", { now, reason: "room" });
    }

    /** Gives the wait up. @param reason Why. @param now Time in ms. */
    stop(reason: PlaceReason, now: number): void {
        this.machine.fire("stopped", { now, reason });
    }

    /** Ends the wait of tasks that need no start any more. @param now Time in ms. */
    drop(now: number): void {
        this.machine.fire("dropped", { now, reason: "room" });
    }
}
