import chartText from "./agenda.chart.yaml";
import { ChartLoader } from "./chartLoader";
import { ChartRegistry } from "./chartRegistry";
import { Machine } from "./machine";

type AgendaState = "idle" | "waiting" | "handling";
type AgendaEvent = "posted" | "turn" | "emptied" | "spent";
type AgendaAction = "requestTurn";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<AgendaState, AgendaEvent, never, AgendaAction>(chartText, "agenda.chart.yaml", {
        states: ["idle", "waiting", "handling"],
        events: ["posted", "turn", "emptied", "spent"],
        guards: [],
        actions: ["requestTurn"],
    }),
);

/** Time that the events of one turn may take before input is read again, in ms. */
const TURN_BUDGET_MS = 40;

/** Time after which an event takes turns with more urgent ones, in ms, so that none waits for ever. */
const MAX_WAIT_MS = 250;

/** An event that waits, and the time (ms) at which it arrived. */
export interface AgendaItem<Event> {
    readonly event: Event;
    readonly arrivedAt: number;
}

/**
 * The events of a loop that wait, by urgency. Events of one class keep their order. A loop that is on time handles each at once; one
 * that is late handles what is due before what can wait, or both in turn if that has waited for long.
 */
export class Agenda<Event, Class extends string> {
    private readonly machine: Machine<undefined, AgendaState, AgendaEvent, never, AgendaAction>;
    private readonly items: AgendaItem<Event>[][];
    private turnStartedAt = 0;
    /** Whether the latest event went before more urgent ones, since it had waited for long. */
    private wasOverdue = false;

    private constructor(
        private readonly classes: readonly Class[],
        private readonly classOf: (event: Event) => Class,
        requestTurn: () => void,
    ) {
        this.items = classes.map(() => []);
        this.machine = Machine.create(chart, { guards: {}, actions: { requestTurn } });
    }

    /**
     * @param classes Classes of events, the most urgent first.
     * @param classOf Returns the class of an event.
     * @param requestTurn Called when a turn is needed: `beginTurn` is to be called after all input that has arrived is read.
     * @returns An agenda without events.
     */
    static create<E, C extends string>(
        classes: readonly C[],
        classOf: (event: E) => C,
        requestTurn: () => void,
    ): Agenda<E, C> {
        return new Agenda(classes, classOf, requestTurn);
    }

    /** Adds an event. @param now Time in ms. */
    add(event: Event, now: number): void {
        this.items[this.classes.indexOf(this.classOf(event))].push({ event, arrivedAt: now });
        this.machine.fire("posted", undefined);
    }

    /** Begins a turn. @param now Time in ms. */
    beginTurn(now: number): void {
        this.turnStartedAt = now;
        this.machine.fire("turn", undefined);
    }

    /** @param now Time in ms. @returns The event to handle next, or `undefined` at the end of the turn. */
    next(now: number): AgendaItem<Event> | undefined {
        const isSpent = now - this.turnStartedAt >= TURN_BUDGET_MS;
        const waiting = this.items.filter(each => each.length > 0);
        if (waiting.length === 0 || isSpent) {
            this.machine.fire(waiting.length === 0 ? "emptied" : "spent", undefined);
            return undefined;
        }
        const [mostUrgent, ...others] = waiting;
        const overdue = others.filter(each => now - each[0].arrivedAt > MAX_WAIT_MS);
        this.wasOverdue = overdue.length > 0 && !this.wasOverdue;
        return (this.wasOverdue ? overdue.reduce(older) : mostUrgent).shift();
    }
}

function older<E>(a: AgendaItem<E>[], b: AgendaItem<E>[]): AgendaItem<E>[] {
    return b[0].arrivedAt < a[0].arrivedAt ? b : a;
}
