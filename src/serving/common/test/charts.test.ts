import test from "ava";
import fc from "fast-check";
import { createMachine, transition } from "xstate";
import { AnyChart, ChartRegistry } from "../../../base/common/chartRegistry";
import { toMermaid } from "../../../base/common/mermaid";
import "../instance";

const charts = ChartRegistry.instance.all();

test("all life cycles are registered", t => {
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
    test(`every state of ${chart.name} reacts to every event, and can reach a state to rest in`, t => {
        const events = new Set([...chart.table.values()].flatMap(reactions => [...reactions.keys()]));
        for (const [state, reactions] of chart.table) {
            t.deepEqual([...reactions.keys()].sort(), [...events].sort(), state);
            for (const event of events) {
                const step = chart.step(state, event, () => true);
                t.true(step.kind !== "moved" || chart.table.has(step.to), `${state} on ${event}`);
                t.true(chart.finals.size === 0 || reachesFinal(chart, state), `${state} reaches an end`);
            }
        }
        t.regex(toMermaid(chart), /^stateDiagram-v2/);
    });

    test(`${chart.name} steps as a well-known interpreter does`, t => {
        const machine = toReference(chart);
        const events = [...chart.table.get(chart.initial)!.keys()];
        const walk = fc.array(fc.tuple(fc.constantFrom(...events), fc.integer({ min: 0, max: 2 ** 16 - 1 })), {
            maxLength: 30,
        });
        fc.assert(
            fc.property(walk, steps => {
                let state = chart.initial;
                for (const [event, bits] of steps) {
                    const holds = (guard: string) => ((bits >> (guard.length % 16)) & 1) === 1;
                    const own = chart.step(state, event, holds);
                    const snapshot = machine.resolveState({ value: state, context: { holds } });
                    const [next, actions] = transition(machine, snapshot, { type: event });
                    const moved = own.kind === "moved" ? own.to : state;
                    t.is(next.value as string, moved);
                    t.deepEqual(
                        actions.map(each => each.type),
                        own.kind === "moved" ? [...own.actions] : [],
                    );
                    state = moved;
                }
            }),
            { seed: 1, numRuns: 60 },
        );
    });
}

function reachesFinal(chart: AnyChart, from: string): boolean {
    const reached = new Set([from]);
    for (const state of reached) {
        for (const reaction of chart.table.get(state)!.values()) {
            if (reaction.kind === "handled") {
                reaction.transitions.forEach(each => reached.add(each.target));
            }
        }
    }
    return [...reached].some(state => chart.finals.has(state));
}

function toReference(chart: AnyChart) {
    const states = Object.fromEntries(
        [...chart.table].map(([state, reactions]) => [
            state,
            {
                on: Object.fromEntries(
                    [...reactions].flatMap(([event, reaction]) =>
                        reaction.kind === "ignored"
                            ? []
                            : [[event, reaction.transitions.map(each => toReferenceTransition(each))]],
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

function toReferenceTransition(each: { target: string; guard?: string; actions: readonly string[] }) {
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
