import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Emitter } from "../../base/common/emitter";
import { Machine } from "../../base/common/machine";
import chartText from "./configurationView.chart.yaml";
import { QueueTable } from "./queueTable";

export type ConfigurationViewState = "unknown" | "recent" | "old";
type ConfigurationViewEvent = "aged" | "caught-up";
type ConfigurationViewAction = "report";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ConfigurationViewState, ConfigurationViewEvent, never, ConfigurationViewAction>(
        chartText,
        "configurationView.chart.yaml",
        {
            states: ["unknown", "recent", "old"],
            events: ["aged", "caught-up"],
            guards: [],
            actions: ["report"],
        },
    ),
);

/** How far the configuration has been read. */
export interface ConfigurationStreamState {
    /** Time (ms) up to which all records are known; `undefined` before the stream is loaded, and after a suspension. */
    readonly knownUntil: number | undefined;
    /** Whether the latest read failed. */
    readonly isFailing: boolean;
}

/** A change of the view. */
export interface ConfigurationViewChange {
    readonly state: ConfigurationViewState;
    /** Version that is known. */
    readonly version: number | undefined;
    /** Time since all records of the configuration were known, in ms; `undefined` after a suspension. */
    readonly ageMs: number | undefined;
    /** Whether the latest read of the configuration failed. */
    readonly isFailing: boolean;
}

/** Knows whether the configuration that was read may be in force. */
export class ConfigurationView {
    private readonly machine: Machine<
        number,
        ConfigurationViewState,
        ConfigurationViewEvent,
        never,
        ConfigurationViewAction
    >;
    private readonly didChange = Emitter.create<ConfigurationViewChange>();

    /** Fires when the view gets too old, and when it is recent again. */
    readonly onDidChange = this.didChange.event;

    private constructor(
        private readonly stream: ConfigurationStreamState,
        private readonly queues: QueueTable,
        private readonly configurationMs: number,
    ) {
        this.machine = Machine.create(chart, { guards: {}, actions: { report: now => this.report(now) } });
    }

    /**
     * @param stream How far the configuration has been read.
     * @param queues The queues of the configuration that was read.
     * @param configurationMs Time within which a configuration must be in force, in ms.
     * @returns The view.
     */
    static create(stream: ConfigurationStreamState, queues: QueueTable, configurationMs: number): ConfigurationView {
        return new ConfigurationView(stream, queues, configurationMs);
    }

    /**
     * Whether the known configuration may be in force: a later one that is not known yet needs not to be. That reads fail proves
     * nothing: the store may serve others, and may have been back for a while.
     * @param now Time in ms.
     */
    isInForce(now: number): boolean {
        const ageMs = now - (this.stream.knownUntil ?? Number.NEGATIVE_INFINITY);
        return this.queues.version !== undefined && ageMs <= this.configurationMs;
    }

    /** Reports whether the view has become old or recent. @param now Time in ms. */
    review(now: number): void {
        this.machine.fire(this.isInForce(now) ? "caught-up" : "aged", now);
    }

    private report(now: number): void {
        const { knownUntil, isFailing } = this.stream;
        const ageMs = knownUntil === undefined ? undefined : Math.round(now - knownUntil);
        this.didChange.fire({ state: this.machine.state, version: this.queues.version, ageMs, isFailing });
    }
}
