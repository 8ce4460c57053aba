/** One transition of a state; transitions inherited from a parent state are already resolved. */
export interface Transition<State extends string, Guard extends string, Action extends string> {
    readonly target: State;
    readonly guard?: Guard;
    readonly actions: readonly Action[];
}

/** How a state responds to an event. */
export type Reaction<State extends string, Guard extends string, Action extends string> =
    | { readonly kind: "handled"; readonly transitions: readonly Transition<State, Guard, Action>[] }
    | { readonly kind: "ignored" };

/** The functions that implement a chart's guards and actions, by name. */
export interface ChartBinding<Context, Payload, Guard extends string, Action extends string> {
    readonly guards: Readonly<Record<Guard, (context: Context, payload: Payload) => boolean>>;
    readonly actions: Readonly<Record<Action, (context: Context, payload: Payload) => void>>;
}

/** The names that a chart may use, as the code declares them in string unions. */
export interface DeclaredNames<
    State extends string,
    Event extends string,
    Guard extends string = never,
    Action extends string = never,
> {
    readonly states: readonly State[];
    readonly events: readonly Event[];
    readonly guards: readonly Guard[];
    readonly actions: readonly Action[];
}

/** Result of one event. `blocked` means that no guard of the event's transitions was true. */
export type Step<State extends string, Action extends string> =
    | { readonly kind: "moved"; readonly to: State; readonly actions: readonly Action[] }
    | { readonly kind: "ignored" | "blocked" };

const IGNORED = { kind: "ignored" } as const;
const BLOCKED = { kind: "blocked" } as const;

/** A compiled state chart: one table lookup per step. It is stateless, so that many objects can share it. */
export class Chart<
    State extends string,
    Event extends string,
    Guard extends string = never,
    Action extends string = never,
> {
    private constructor(
        readonly name: string,
        readonly initial: State,
        readonly finalStates: ReadonlySet<State>,
        readonly table: ReadonlyMap<State, ReadonlyMap<Event, Reaction<State, Guard, Action>>>,
    ) {}

    /**
     * @param name Name of the chart, used in messages.
     * @param initial Initial state.
     * @param finalStates States without outgoing transitions.
     * @param table Reaction of each state to each event.
     * @returns The chart.
     */
    static create<S extends string, E extends string, G extends string, A extends string>(
        name: string,
        initial: S,
        finalStates: ReadonlySet<S>,
        table: ReadonlyMap<S, ReadonlyMap<E, Reaction<S, G, A>>>,
    ): Chart<S, E, G, A> {
        return new Chart(name, initial, finalStates, table);
    }

    /**
     * Finds the transition for an event without running its actions.
     * @param state Current state.
     * @param event Event that occurred.
     * @param evaluate Evaluates a guard.
     * @returns The transition, or why there is none.
     */
    step(state: State, event: Event, evaluate: (guard: Guard) => boolean): Step<State, Action> {
        const reaction = this.table.get(state)?.get(event);
        if (reaction === undefined || reaction.kind === "ignored") {
            return IGNORED;
        }
        for (const transition of reaction.transitions) {
            if (transition.guard === undefined || evaluate(transition.guard)) {
                return { kind: "moved", to: transition.target, actions: transition.actions };
            }
        }
        return BLOCKED;
    }

    /**
     * Evaluates the guards of an event, then runs the actions of its transition.
     * @param state Current state.
     * @param event Event that occurred.
     * @param context Object that guards and actions work on.
     * @param payload Data of the event.
     * @param binding Functions of the guards and actions.
     * @returns The new state, or `undefined` when the event is ignored or blocked.
     */
    fire<Context, Payload>(
        state: State,
        event: Event,
        context: Context,
        payload: Payload,
        binding: ChartBinding<Context, Payload, Guard, Action>,
    ): State | undefined {
        const step = this.step(state, event, guard => binding.guards[guard](context, payload));
        if (step.kind !== "moved") {
            return undefined;
        }
        for (const action of step.actions) {
            binding.actions[action](context, payload);
        }
        return step.to;
    }
}
