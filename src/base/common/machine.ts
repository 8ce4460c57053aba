import { Chart } from "./chart";

/** The functions that implement a chart's guards and actions for one machine, by name. */
export interface MachineBinding<Payload, Guard extends string, Action extends string> {
    readonly guards: Readonly<Record<Guard, (payload: Payload) => boolean>>;
    readonly actions: Readonly<Record<Action, (payload: Payload) => void>>;
}

/** A state machine: a chart, its current state, and the functions of its guards and actions. */
export class Machine<Payload, State extends string, Event extends string, Guard extends string, Action extends string> {
    private current: State;

    private constructor(
        private readonly chart: Chart<State, Event, Guard, Action>,
        private readonly binding: MachineBinding<Payload, Guard, Action>,
    ) {
        this.current = chart.initial;
    }

    /**
     * @param chart The chart.
     * @param binding Functions of the guards and actions.
     * @returns A machine in the chart's initial state.
     */
    static create<P, S extends string, E extends string, G extends string, A extends string>(
        chart: Chart<S, E, G, A>,
        binding: MachineBinding<P, G, A>,
    ): Machine<P, S, E, G, A> {
        return new Machine(chart, binding);
    }

    /** Current state. */
    get state(): State {
        return this.current;
    }

    /**
     * Processes an event. The state changes before the actions run, so that an action may fire the next event.
     * @param event Event that occurred.
     * @param payload Data of the event.
     * @returns Whether a transition occurred.
     */
    fire(event: Event, payload: Payload): boolean {
        const step = this.chart.step(this.current, event, guard => this.binding.guards[guard](payload));
        if (step.kind !== "moved") {
            return false;
        }
        this.current = step.to;
        for (const action of step.actions) {
            this.binding.actions[action](payload);
        }
        return true;
    }
}
