import { Chart, DeclaredNames, Reaction, Transition } from "./chart";
import { Finding } from "./finding";
import { FindingsError } from "./findingsError";
import { YamlText } from "./yamlText";

type Path = readonly PropertyKey[];
type Mapping = Record<string, unknown>;

/** A state as the file declares it, before inherited transitions are resolved. */
interface RawState {
    readonly name: string;
    readonly path: Path;
    readonly body: Mapping;
    readonly ancestors: readonly RawState[];
    readonly isComposite: boolean;
}

const IGNORE_REST = "*";

/** First character of a chart in JSON, as the build generates them for the binary. */
const GENERATED_START = "{";

/**
 * Loads a chart file and checks it against the names that the code declares.
 * States can be nested; a nested state inherits the transitions of its parent and may override them.
 */
export class ChartLoader<S extends string, E extends string, G extends string, A extends string> {
    private readonly findings: Finding[] = [];
    private readonly usedNames = new Set<string>();

    private constructor(
        private readonly yaml: YamlText,
        private readonly declared: DeclaredNames<S, E, G, A>,
    ) {}

    /**
     * Loads one chart.
     * @param text Text of the chart file.
     * @param file Name of the file, used in findings.
     * @param declared Names that the code declares.
     * @returns The compiled chart.
     * @throws FindingsError with every error of the file and its position.
     */
    static load<S extends string, E extends string, G extends string = never, A extends string = never>(
        text: string,
        file: string,
        declared: DeclaredNames<S, E, G, A>,
    ): Chart<S, E, G, A> {
        const isGenerated = text.startsWith(GENERATED_START);
        const yaml = isGenerated ? YamlText.createFromJson(text, file) : YamlText.create(text, file);
        return new ChartLoader(yaml, declared).load();
    }

    private load(): Chart<S, E, G, A> {
        this.findings.push(...this.yaml.findings);
        const root = (this.yaml.value ?? {}) as Mapping;
        const states = this.collectStates((root.states ?? {}) as Mapping, ["states"], []);
        const leaves = states.filter(state => !state.isComposite);
        this.checkNames(leaves);
        const table = new Map(leaves.map(state => [state.name as S, this.resolveReactions(state)]));
        const initial = root.initial as S;
        if (!table.has(initial)) {
            this.report(["initial"], `unknown initial state ${String(initial)}`, "one of the states");
        }
        const finalStates = new Set(leaves.filter(state => state.body.final === true).map(state => state.name as S));
        this.checkReachable(initial, table, leaves);
        this.checkAllUsed();
        if (this.findings.length > 0) {
            throw FindingsError.create(this.findings);
        }
        return Chart.create(String(root.chart), initial, finalStates, table);
    }

    private collectStates(states: Mapping, path: Path, ancestors: readonly RawState[]): RawState[] {
        return Object.entries(states).flatMap(([name, value]) => {
            const body = (value ?? {}) as Mapping;
            const isComposite = body.states !== undefined;
            const state: RawState = { name, path: [...path, name], body, ancestors, isComposite };
            const nested = isComposite
                ? this.collectStates(body.states as Mapping, [...state.path, "states"], [...ancestors, state])
                : [];
            return [state, ...nested];
        });
    }

    private checkNames(leaves: readonly RawState[]): void {
        for (const state of leaves) {
            if (!this.declared.states.includes(state.name as S)) {
                this.report(state.path, `unknown state ${state.name}`, this.declared.states.join(", "), true);
            }
        }
        const found = new Set(leaves.map(state => state.name));
        for (const name of this.declared.states.filter(each => !found.has(each))) {
            this.report(["states"], `state ${name} is missing`, `a state ${name}`);
        }
    }

    private resolveReactions(state: RawState): Map<E, Reaction<S, G, A>> {
        const reactions = new Map<E, Reaction<S, G, A>>();
        for (const level of [...state.ancestors, state]) {
            this.readLevel(level, reactions);
        }
        for (const event of this.declared.events.filter(each => !reactions.has(each))) {
            this.report(state.path, `event ${event} is neither handled nor ignored in ${state.name}`, event, true);
        }
        if (state.body.final === true && [...reactions.values()].some(reaction => reaction.kind === "handled")) {
            this.report(state.path, `final state ${state.name} handles an event`, "no transitions", true);
        }
        return reactions;
    }

    private readLevel(level: RawState, reactions: Map<E, Reaction<S, G, A>>): void {
        const handlers = (level.body.on ?? {}) as Mapping;
        for (const event of Object.keys(handlers)) {
            const path = [...level.path, "on", event];
            this.checkName(path, "event", event, this.declared.events, true);
            reactions.set(event as E, { kind: "handled", transitions: this.readTransitions(path, handlers[event]) });
        }
        const ignored = level.body.ignore;
        const names = ignored === IGNORE_REST ? this.declared.events : ((ignored ?? []) as E[]);
        names.forEach((event, index) => {
            if (ignored !== IGNORE_REST) {
                this.checkName([...level.path, "ignore", index], "event", event, this.declared.events);
            }
            if (ignored !== IGNORE_REST || !reactions.has(event)) {
                reactions.set(event, { kind: "ignored" });
            }
        });
    }

    private readTransitions(path: Path, value: unknown): Transition<S, G, A>[] {
        if (Array.isArray(value)) {
            return value.map((each, index) => this.readTransition([...path, index], each));
        }
        return [this.readTransition(path, value)];
    }

    private readTransition(path: Path, value: unknown): Transition<S, G, A> {
        const raw = (typeof value === "string" ? { target: value } : (value ?? {})) as Mapping;
        const actions = (raw.actions ?? []) as A[];
        this.checkName([...path, "target"], "target", raw.target, this.declared.states);
        if (raw.guard !== undefined) {
            this.checkName([...path, "guard"], "guard", raw.guard, this.declared.guards);
        }
        actions.forEach((action, index) =>
            this.checkName([...path, "actions", index], "action", action, this.declared.actions),
        );
        return { target: raw.target as S, guard: raw.guard as G | undefined, actions };
    }

    private checkName(path: Path, what: string, name: unknown, declared: readonly string[], atKey = false): void {
        this.usedNames.add(`${what} ${String(name)}`);
        if (!declared.includes(name as string)) {
            this.report(path, `unknown ${what} ${String(name)}`, declared.join(", "), atKey);
        }
    }

    private checkReachable(
        initial: S,
        table: ReadonlyMap<S, ReadonlyMap<E, Reaction<S, G, A>>>,
        leaves: readonly RawState[],
    ): void {
        const reached = new Set<S>([initial]);
        for (const state of reached) {
            for (const reaction of table.get(state)?.values() ?? []) {
                if (reaction.kind === "handled") {
                    reaction.transitions.forEach(transition => reached.add(transition.target));
                }
            }
        }
        for (const state of leaves.filter(each => !reached.has(each.name as S))) {
            this.report(state.path, `state ${state.name} is unreachable`, "a transition to it", true);
        }
    }

    private checkAllUsed(): void {
        for (const guard of this.declared.guards.filter(each => !this.usedNames.has(`guard ${each}`))) {
            this.report([], `guard ${guard} is declared by the code but not used`, `a use of ${guard}`);
        }
        for (const action of this.declared.actions.filter(each => !this.usedNames.has(`action ${each}`))) {
            this.report([], `action ${action} is declared by the code but not used`, `a use of ${action}`);
        }
    }

    private report(path: Path, message: string, expected: string, atKey = false): void {
        this.findings.push({ place: this.yaml.positionOf(path, atKey), message, expected });
    }
}
