import { AnyChart } from "./chartRegistry";

/**
 * Draws a chart as a Mermaid state diagram.
 * @param chart The chart.
 * @returns The text of the diagram.
 */
export function toMermaid(chart: AnyChart): string {
    const lines = ["stateDiagram-v2", `    %% ${chart.name}`, `    [*] --> ${identifier(chart.initial)}`];
    for (const [state, reactions] of chart.table) {
        for (const [event, reaction] of reactions) {
            for (const transition of reaction.kind === "handled" ? reaction.transitions : []) {
                const guard = transition.guard === undefined ? "" : ` [${transition.guard}]`;
                lines.push(`    ${identifier(state)} --> ${identifier(transition.target)}: ${event}${guard}`);
            }
        }
    }
    for (const state of chart.finals) {
        lines.push(`    ${identifier(state)} --> [*]`);
    }
    return lines.join("\n");
}

/** Mermaid takes a hyphen in a state's name for an arrow. */
function identifier(state: string): string {
    return state.replaceAll("-", "_");
}
