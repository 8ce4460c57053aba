import { Agenda } from "../common/agenda";
import { Disposable } from "../common/disposable";
import { DispatchEvent, ErrorListener, Loop, PerformEffect } from "./loop";

/** Called with the time (ms) at which an event arrived, before it is handled. */
export type ArrivalListener = (arrivedAt: number, now: number) => void;

/** Parts of a loop that handles its events by urgency. */
export interface AgendaLoopParts<Event, Effect, Class extends string> {
    /** Classes of events, the most urgent first. */
    readonly classes: readonly Class[];
    readonly classOf: (event: Event) => Class;
    readonly dispatch: DispatchEvent<Event, Effect>;
    readonly perform: PerformEffect<Effect>;
    readonly onError: ErrorListener;
    readonly onArrival: ArrivalListener;
}

/**
 * An event loop that handles what is due first. Events are collected while the process reads its input, and then handled by urgency for a
 * limited time, after which the process reads again.
 */
export class AgendaLoop<Event, Effect, Class extends string> implements Disposable {
    private readonly loop: Loop<Event, Effect>;
    private readonly agenda: Agenda<Event, Class>;
    private immediate: NodeJS.Immediate | undefined;
    private isDisposed = false;

    private constructor(private readonly parts: AgendaLoopParts<Event, Effect, Class>) {
        this.loop = Loop.create(parts.dispatch, parts.perform, parts.onError);
        this.agenda = Agenda.create(parts.classes, parts.classOf, () => this.requestTurn());
    }

    /** @param parts Handling of events and effects. @returns A loop without a tick timer; see `startTicking`. */
    static create<E, F, C extends string>(parts: AgendaLoopParts<E, F, C>): AgendaLoop<E, F, C> {
        return new AgendaLoop(parts);
    }

    /** Starts posting an event at intervals. @param createTick Creates it. @param intervalMs Returns the next interval, in ms. */
    startTicking(createTick: (dueAt: number) => Event, intervalMs: () => number): void {
        this.loop.startTicking(createTick, intervalMs, event => this.post(event));
    }

    /** Adds an event, which is handled in one of the next turns of the process. */
    post(event: Event): void {
        if (!this.isDisposed) {
            this.agenda.add(event, performance.now());
        }
    }

    /** Stops the loop; the events that wait are dropped. */
    dispose(): void {
        this.isDisposed = true;
        clearImmediate(this.immediate);
        this.loop.dispose();
    }

    private requestTurn(): void {
        this.immediate = setImmediate(() => this.runTurn());
    }

    private runTurn(): void {
        this.agenda.beginTurn(performance.now());
        for (let item = this.nextItem(); item !== undefined; item = this.nextItem()) {
            this.reportArrival(item.arrivedAt);
            this.loop.post(item.event);
        }
    }

    /** An error of the listener must not end the turn: the agenda would request no other one. */
    private reportArrival(arrivedAt: number): void {
        try {
            this.parts.onArrival(arrivedAt, performance.now());
        } catch (error) {
            this.parts.onError(error);
        }
    }

    private nextItem() {
        return this.isDisposed ? undefined : this.agenda.next(performance.now());
    }
}
