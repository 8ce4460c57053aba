/** A transition as the chart file declares it, with inherited transitions already resolved. */
export interface Transition<State extends string, Guard extends string, Action extends string> {
    readonly target: State;
    readonly guard?: Guard;
    readonly actions: readonly Action[];
}

/** What a state does with an event. */
export type Reaction<State extends string, Guard extends string, Action extends string> =
    | { readonly kind: "handled"; readonly transitions: readonly Transition<State, Guard, Action>[] }
    | { readonly kind: "ignored" };

/** Functions that the names in a chart stand for. */
export interface Binding<Context, Payload, Guard extends string, Action extends string> {
    readonly guards: Readonly<Record<Guard, (context: Context, payload: Payload) => boolean>>;
    readonly actions: Readonly<Record<Action, (context: Context, payload: Payload) => void>>;
}

/** The names that a chart may use; the code declares them as string unions. */
export interface Vocabulary<
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

/** Outcome of one event. `blocked` means that no guard of the declared transitions held. */
export type Step<State extends string, Action extends string> =
    | { readonly kind: "moved"; readonly to: State; readonly actions: readonly Action[] }
    | { readonly kind: "ignored" | "blocked" };

const IGNORED = { kind: "ignored" } as const;
const BLOCKED = { kind: "blocked" } as const;

/** A state chart compiled to one table look-up a step. It holds no state, so that many subjects share it. */
export class Chart<
    State extends string,
    Event extends string,
    Guard extends string = never,
    Action extends string = never,
> {
    private constructor(
        readonly name: string,
        readonly initial: State,
        readonly finals: ReadonlySet<State>,
        readonly table: ReadonlyMap<State, ReadonlyMap<Event, Reaction<State, Guard, Action>>>,
    ) {}

    /**
     * @param name Name of the chart, for messages.
     * @param initial State in which a subject begins.
     * @param finals States that a subject never leaves.
     * @param table Reaction of each state to each event.
     * @returns The chart.
     */
    static create<S extends string, E extends string, G extends string, A extends string>(
        name: string,
        initial: S,
        finals: ReadonlySet<S>,
        table: ReadonlyMap<S, ReadonlyMap<E, Reaction<S, G, A>>>,
    ): Chart<S, E, G, A> {
        return new Chart(name, initial, finals, table);
    }

    /**
     * Decides one step without performing it.
     * @param state Current state.
     * @param event Event that occurred.
     * @param holds Evaluates a guard.
     * @returns The transition to take, or why none is taken.
     */
    step(state: State, event: Event, holds: (guard: Guard) => boolean): Step<State, Action> {
        const reaction = this.table.get(state)?.get(event);
        if (reaction === undefined || reaction.kind === "ignored") {
            return IGNORED;
        }
        for (const transition of reaction.transitions) {
            if (transition.guard === undefined || holds(transition.guard)) {
                return { kind: "moved", to: transition.target, actions: transition.actions };
            }
        }
        return BLOCKED;
    }

    /**
     * Takes one step: evaluates guards, then runs the actions of the transition.
     * @param state Current state.
     * @param event Event that occurred.
     * @param context Subject that guards and actions work on.
     * @param payload Data of the event.
     * @param binding Functions behind the names.
     * @returns The new state, or `undefined` when the event is ignored or blocked.
     */
    fire<Context, Payload>(
        state: State,
        event: Event,
        context: Context,
        payload: Payload,
        binding: Binding<Context, Payload, Guard, Action>,
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
