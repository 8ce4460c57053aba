import { DecisionData, DecisionName } from "../../dispatch/common/dispatchTraffic";

/** Counters of one instance, served as text. */
export class JobMetrics {
    private readonly counters = new Map<string, number>();

    private constructor() {}

    /** @returns Counters at zero. */
    static create(): JobMetrics {
        return new JobMetrics();
    }

    /** Counts a call and its answer. */
    call(request: string, answer: string): void {
        this.count(`wigeonstall_calls_total{request="${request}",answer="${answer}"}`);
    }

    /** Counts a call to the store. */
    storeCall(call: string, outcome: string): void {
        this.count(`wigeonstall_store_calls_total{call="${call}",outcome="${outcome}"}`);
    }

    /** Counts an order to a worker. */
    order(order: string, outcome: string): void {
        this.count(`wigeonstall_orders_total{order="${order}",outcome="${outcome}"}`);
    }

    /** Counts a decision. */
    decided(name: DecisionName, data: DecisionData): void {
        const outcome = data.outcome ?? data.state ?? data.reason ?? "";
        this.count(`wigeonstall_decisions_total{decision="${name}",outcome="${String(outcome)}"}`);
    }

    /** @returns The counters, one a line. */
    text(): string {
        return [...this.counters].map(([name, value]) => `${name} ${value}\n`).join("");
    }

    private count(name: string): void {
        this.counters.set(name, (this.counters.get(name) ?? 0) + 1);
    }
}
