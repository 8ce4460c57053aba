import { Chart } from "./chart";

/** A chart of any states, events, guards and actions. */
export type AnyChart = Chart<string, string, string, string>;

/** All charts of the program. Each module registers its own when it is loaded. */
export class ChartRegistry {
    private readonly charts = new Map<string, AnyChart>();

    private constructor() {}

    /** The registry of this process. */
    static readonly instance = new ChartRegistry();

    /**
     * @param chart A chart with a unique name.
     * @returns The same chart.
     * @throws Error when a chart of that name is registered already.
     */
    register<S extends string, E extends string, G extends string, A extends string>(
        chart: Chart<S, E, G, A>,
    ): Chart<S, E, G, A> {
        if (this.charts.has(chart.name)) {
            throw new Error(`chart ${chart.name} is registered twice`);
        }
        this.charts.set(chart.name, chart);
        return chart;
    }

    /** @returns All charts, sorted by name. */
    all(): readonly AnyChart[] {
        return [...this.charts.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    }
}
