import type { StatsD } from "hot-shots";
import { Invariants } from "../../base/common/invariants";
import { RouteEffect } from "../../routing/common/routeEvents";
import { TaskChange } from "../common/instanceServices";
import { Settings } from "../common/settings";

type RequestMeasurement = Extract<RouteEffect, { readonly kind: "request-measured" }>;

/** Writes metrics to StatsD: tail latency of services, batch throughput, evictions. */
export class MetricsWriter {
    private constructor(private readonly client: StatsD | undefined) {}

    /** @param settings Destination; no metrics are written if not set. @returns The writer. */
    static async create(settings: Settings["metrics"]): Promise<MetricsWriter> {
        if (settings === undefined) {
            return new MetricsWriter(undefined);
        }
        // Loaded only if metrics are configured, to save memory.
        const { StatsD } = await import("hot-shots");
        const writer = new MetricsWriter(new StatsD({ ...settings, errorHandler: () => undefined }));
        Invariants.instance.onDidViolate(({ invariant }) => writer.client?.increment("invariant", { invariant }));
        return writer;
    }

    /** Records the outcome and latency of a request. */
    recordRequest({ service, outcome, latencyMs }: RequestMeasurement): void {
        this.client?.timing("request.latency", latencyMs, { service, outcome });
        this.client?.increment("request.outcome", { service, outcome });
    }

    /** Records a change of a batch task. */
    recordTaskChange({ task, event }: TaskChange): void {
        this.client?.increment("task", { event, family: task.request.family });
    }

    /** Sends buffered metrics and closes the connection. */
    close(): void {
        this.client?.close(() => undefined);
    }
}
