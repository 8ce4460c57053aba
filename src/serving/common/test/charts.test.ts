import test from "ava";
import fc from "fast-check";
import { createMachine, transition } from "xstate";
import { AnyChart, ChartRegistry } from "../../../base/common/chartRegistry";
import { toMermaid } from "../../../base/common/mermaid";
import "../instance";

const charts = ChartRegistry.instance.all();

test("all charts are registered", t => {
    t.deepEqual(
        charts.map(chart => chart.name),
        [
            "append",
            "attempt",
            "instance",
            "log-session",
            "membership",
            "ownership",
            "replica",
            "request",
            "task",
            "ticket",
            "upstream",
            "worker-contact",
            "worker-trust",
        ],
    );
});

for (const chart of charts) {
    test(`${chart.name}: every state handles every event and can reach a final state`, t => {
        const events = new Set([...chart.table.values()].flatMap(reactions => [...reactions.keys()]));
        for (const [state, reactions] of chart.table) {
            t.deepEqual([...reactions.keys()].sort(), [...events].sort(), state);
            for (const event of events) {
                const step = chart.step(state, event, () => true);
                t.true(step.kind !== "moved" || chart.table.has(step.to), `${state} on ${event}`);
                t.true(chart.finalStates.size === 0 || canReachFinal(chart, state), `${state} reaches a final state`);
            }
        }
        t.regex(toMermaid(chart), /^stateDiagram-v2/);
    });

    test(`${chart.name}: transitions match those of XState`, t => {
        const machine = toXStateMachine(chart);
        const events = [...chart.table.get(chart.initial)!.keys()];
        const eventSequences = fc.array(
            fc.tuple(fc.constantFrom(...events), fc.integer({ min: 0, max: 2 ** 16 - 1 })),
            {
                maxLength: 30,
            },
        );
        fc.assert(
            fc.property(eventSequences, steps => {
                let state = chart.initial;
                for (const [event, bits] of steps) {
                    const holds = (guard: string) => ((bits >> (guard.length % 16)) & 1) === 1;
                    const step = chart.step(state, event, holds);
                    const snapshot = machine.resolveState({ value: state, context: { holds } });
                    const [next, actions] = transition(machine, snapshot, { type: event });
                    const nextState = step.kind === "moved" ? step.to : state;
                    t.is(next.value as string, nextState);
                    t.deepEqual(
                        actions.map(each => each.type),
                        step.kind === "moved" ? [...step.actions] : [],
                    );
                    state = nextState;
                }
            }),
            { seed: 1, numRuns: 60 },
        );
    });
}

function canReachFinal(chart: AnyChart, from: string): boolean {
    const reached = new Set([from]);
    for (const state of reached) {
        for (const reaction of chart.table.get(state)!.values()) {
            if (reaction.kind === "handled") {
                reaction.transitions.forEach(each => reached.add(each.target));
            }
        }
    }
    return [...reached].some(state => chart.finalStates.has(state));
}

function toXStateMachine(chart: AnyChart) {
    const states = Object.fromEntries(
        [...chart.table].map(([state, reactions]) => [
            state,
            {
                on: Object.fromEntries(
                    [...reactions].flatMap(([event, reaction]) =>
                        reaction.kind === "ignored"
                            ? []
                            : [[event, reaction.transitions.map(each => toXStateTransition(each))]],
                    ),
                ),
            },
        ]),
    );
    return createMachine({
        types: {} as { context: { holds: (guard: string) => boolean }; events: { type: string } },
        context: { holds: () => true },
        initial: chart.initial,
        states,
    });
}

function toXStateTransition(each: { target: string; guard?: string; actions: readonly string[] }) {
    const { guard } = each;
    return {
        target: each.target,
        reenter: true,
        actions: each.actions.map(type => ({ type })),
        ...(guard === undefined
            ? {}
            : { guard: ({ context }: { context: { holds: (guard: string) => boolean } }) => context.holds(guard) }),
    };
}
