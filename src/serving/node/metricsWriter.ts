import type { StatsD } from "hot-shots";
import { Invariants } from "../../base/common/invariant";
import { RouteEffect } from "../../routing/common/routeTraffic";
import { TaskChange } from "../common/instanceServices";
import { Settings } from "../common/settings";

type MeasuredEffect = Extract<RouteEffect, { readonly kind: "request-measured" }>;

/** Writes the measures that users care for: tail latency of services, batch throughput, evictions. */
export class MetricsWriter {
    private constructor(private readonly client: StatsD | undefined) {}

    /** @param settings Where to write; nothing is written without. @returns The writer. */
    static async create(settings: Settings["metrics"]): Promise<MetricsWriter> {
        if (settings === undefined) {
            return new MetricsWriter(undefined);
        }
        // Loaded only where it is used, for the memory that it takes.
        const { StatsD } = await import("hot-shots");
        const writer = new MetricsWriter(new StatsD({ ...settings, errorHandler: () => undefined }));
        Invariants.instance.onDidViolate(({ invariant }) => writer.client?.increment("invariant", { invariant }));
        return writer;
    }

    /** Writes the outcome and latency of a request. */
    request({ service, outcome, latencyMs }: MeasuredEffect): void {
        this.client?.timing("request.latency", latencyMs, { service, outcome });
        this.client?.increment("request.outcome", { service, outcome });
    }

    /** Writes a change of a batch task. */
    task({ task, event }: TaskChange): void {
        this.client?.increment("task", { event, family: task.request.family });
    }

    /** Sends what is buffered. */
    close(): void {
        this.client?.close(() => undefined);
    }
}
