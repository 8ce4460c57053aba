import { Chart } from "./chart";

/** A chart whose names are not known to its reader. */
export type AnyChart = Chart<string, string, string, string>;

/** The charts of the program. Each module adds its own when it is loaded. */
export class ChartRegistry {
    private readonly charts = new Map<string, AnyChart>();

    private constructor() {}

    /** The registry of this process. */
    static readonly instance = new ChartRegistry();

    /**
     * @param chart A chart with a name that is not taken.
     * @returns The same chart.
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

    /** @returns All charts, by name. */
    all(): readonly AnyChart[] {
        return [...this.charts.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    }
}
