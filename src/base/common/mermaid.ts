import { AnyChart } from "./chartRegistry";

/**
 * Formats a chart as a Mermaid state diagram.
 * @param chart The chart.
 * @returns The text of the diagram.
 */
export function toMermaid(chart: AnyChart): string {
    const lines = ["stateDiagram-v2", `    %% ${chart.name}`, `    [*] --> ${toIdentifier(chart.initial)}`];
    for (const [state, reactions] of chart.table) {
        for (const [event, reaction] of reactions) {
            for (const transition of reaction.kind === "handled" ? reaction.transitions : []) {
                const guard = transition.guard === undefined ? "" : ` [${transition.guard}]`;
                lines.push(`    ${toIdentifier(state)} --> ${toIdentifier(transition.target)}: ${event}${guard}`);
            }
        }
    }
    for (const state of chart.finalStates) {
        lines.push(`    ${toIdentifier(state)} --> [*]`);
    }
    return lines.join("\n");
}

/** Replaces hyphens, which Mermaid would parse as part of an arrow. */
function toIdentifier(state: string): string {
    return state.replaceAll("-", "_");
}
