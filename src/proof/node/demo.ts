import { build, Histogram } from "hdr-histogram-js";
import { Invariants } from "../../base/common/invariants";
import { formatTable } from "../../base/common/table";
import { waitUntil } from "../../standin/common/wait";
import { LocalDeployment } from "../../standin/node/localDeployment";
import { RunCounter } from "./runCounter";

const SERVICE = "archebu";
const QUOTE_INTERVAL_MS = 50;
const QUOTE_DEADLINE_MS = 2_000;
const BATCH_TASKS = 60;
const CONVERGENCE_TIMEOUT_MS = 20_000;
const BATCH_TIMEOUT_MS = 45_000;
const PHASE_DURATION_MS = 4_000;
const MS_PER_SECOND = 1_000;

const FIRST_TICKET = `
number: 1
author: demo
reason: the booking service and its rosters
services:
    archebu: { cpus: 2, memoryGb: 4, deadlineMs: 2000, requestClass: non-idempotent }
teams:
    rosters: { guaranteedSlots: 24, maxSlots: 64 }
policy: { tailLatency: 10, throughput: 1, evictions: 1 }
`;

const SECOND_TICKET = `
number: 2
basedOn: 1
author: demo
reason: throughput weighs more at night
policy: { tailLatency: 5, throughput: 5, evictions: 2 }
`;

const WORKLOAD = {
    families: {
        roster: { cpus: 2, memoryGb: 2, durationMs: 2_000, failureRate: 0 },
        toolpath: { cpus: 4, memoryGb: 8, durationMs: 5_000, failureRate: 0 },
    },
    interference: { archebu: { toolpath: 0.2, roster: 0.02 }, toolpath: { toolpath: 0.1 } },
};

/** Latencies and outcomes of the quotes, as their clients saw them. */
interface ClientStatistics {
    readonly latencies: Histogram;
    readonly outcomes: Map<string, number>;
}

/** Runs a deployment on loopback in this process through a short scenario, and prints its progress. */
class Demo {
    private readonly statistics: ClientStatistics = {
        latencies: build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: 60_000,
            numberOfSignificantValueDigits: 3,
        }),
        outcomes: new Map(),
    };
    private readonly startedAt = performance.now();
    private quoteTimer: NodeJS.Timeout | undefined;
    private quoteCount = 0;

    private constructor(
        private readonly deployment: LocalDeployment,
        private readonly counter: RunCounter,
    ) {}

    static async start(): Promise<Demo> {
        const counter = RunCounter.create();
        const deployment = await LocalDeployment.start({
            service: SERVICE,
            region: "de-cymru",
            failureDomains: ["caerdydd", "abertawe"],
            workers: 12,
            instances: 3,
            shards: 3,
            workload: WORKLOAD,
            seed: 1,
            observer: counter,
        });
        return new Demo(deployment, counter);
    }

    async run(): Promise<number> {
        try {
            await this.runPhases();
            return this.printSummary();
        } finally {
            clearInterval(this.quoteTimer);
            this.deployment.dispose();
        }
    }

    private async runPhases(): Promise<void> {
        this.printProgress(
            "3 instances, 12 workers and the platform have started on loopback; waiting for owners of the 3 shards",
        );
        await waitUntil(() => this.isServing(), CONVERGENCE_TIMEOUT_MS, "the owners of the shards");
        this.printProgress(`ticket 1: ${await this.fileTicket(FIRST_TICKET)}`);
        await waitUntil(() => this.isInForceEverywhere(1), CONVERGENCE_TIMEOUT_MS, "ticket 1 on every instance");
        this.printProgress("ticket 1 is in force on every instance; clients start to request 20 quotes a second");
        this.quoteTimer = setInterval(() => void this.requestQuote(), QUOTE_INTERVAL_MS);
        await sleep(PHASE_DURATION_MS);
        await this.submitBatch();
        this.printProgress(`${BATCH_TASKS} batch tasks are submitted`);
        await sleep(PHASE_DURATION_MS);
        this.printProgress(
            `ticket 2: ${await this.fileTicket(SECOND_TICKET)}; another ticket with the same number: ${await this.fileTicket(SECOND_TICKET.replace("throughput: 5", "throughput: 6"))}`,
        );
        this.deployment.kill(1);
        this.printProgress("instance 1 is killed; clients use the other instances");
        await waitUntil(() => this.isBatchDone(), BATCH_TIMEOUT_MS, "the end of the batch");
        this.printProgress("every batch task has ended");
    }

    private printSummary(): number {
        const { latencies, outcomes } = this.statistics;
        const seconds = (performance.now() - this.startedAt) / MS_PER_SECOND;
        const violations = [...Invariants.instance.violationCounts()].map(([name, count]) => `${name} ${count}`);
        const quotes = [...outcomes].map(([outcome, count]) => `${count} ${outcome}`).join(", ");
        const rows: (readonly [string, string])[] = [
            ["quotes", quotes],
            ["quote latency, median", `${latencies.getValueAtPercentile(50)} ms`],
            ["quote latency, 99th percentile", `${latencies.getValueAtPercentile(99)} ms`],
            ["batch tasks done", `${this.counter.done} of ${BATCH_TASKS}`],
            ["batch throughput", `${((this.counter.done / seconds) * 60).toFixed(1)} tasks a minute`],
            ["evictions", String(this.counter.evictions)],
            ["violated invariants", violations.length === 0 ? "none" : violations.join(", ")],
        ];
        process.stdout.write(`\n${formatTable(["MEASURE", "VALUE"], rows)}\n`);
        return violations.length === 0 && this.counter.done >= BATCH_TASKS ? 0 : 1;
    }

    private printProgress(text: string): void {
        const seconds = ((performance.now() - this.startedAt) / MS_PER_SECOND).toFixed(1);
        process.stdout.write(`${seconds.padStart(6)} s  ${text}\n`);
    }

    private async isServing(): Promise<boolean> {
        const { shared } = this.deployment.instances[0].instance;
        const isOwned = shared.plan.every(({ name }) => shared.ownership.ownerOf(name) !== undefined);
        const readiness = await fetch(`${this.deployment.origin(0)}/readyz`);
        return isOwned && readiness.status === 200;
    }

    private isInForceEverywhere(ticket: number): boolean {
        return this.deployment.instances.every(each => each.instance.shared.ticketFold.latestNumber >= ticket);
    }

    private async fileTicket(body: string): Promise<string> {
        const response = await fetch(`${this.deployment.origin(0)}/tickets`, { method: "POST", body });
        const verdict = (await response.json()) as { state?: string; loss?: string; error?: string };
        return verdict.loss === undefined ? (verdict.state ?? verdict.error ?? "") : `lost, ${verdict.loss}`;
    }

    private async requestQuote(): Promise<void> {
        this.quoteCount += 1;
        const sentAt = performance.now();
        const outcome = await this.sendQuote(this.quoteCount);
        this.statistics.outcomes.set(outcome, (this.statistics.outcomes.get(outcome) ?? 0) + 1);
        if (outcome === "done") {
            this.statistics.latencies.recordValue(Math.round(performance.now() - sentAt));
        }
    }

    /** Sends a quote. If the connection is refused, tries the next instance, as the platform's load balancer does. */
    private async sendQuote(number: number): Promise<string> {
        for (let attempt = 0; attempt < this.deployment.instances.length; attempt++) {
            const index = (number + attempt) % this.deployment.instances.length;
            try {
                const response = await fetch(`${this.deployment.origin(index)}/services/${SERVICE}/quote`, {
                    method: "POST",
                    body: `roof ${number}`,
                    headers: { "x-deadline-ms": String(QUOTE_DEADLINE_MS) },
                });
                const text = await response.text();
                const isWhole = response.status !== 200 || text.endsWith(`roof ${number}\n`);
                Invariants.instance.check("whole-answer", isWhole, () => `quote ${number} got ${text}`);
                return response.headers.get("x-wigeonstall-outcome") ?? "unknown";
            } catch (error) {
                if ((error as { cause?: { code?: string } }).cause?.code !== "ECONNREFUSED") {
                    return "unknown";
                }
            }
        }
        return "unreachable";
    }

    private async submitBatch(): Promise<void> {
        for (let index = 0; index < BATCH_TASKS; index++) {
            const family = index % 3 === 0 ? "toolpath" : "roster";
            await fetch(`${this.deployment.origin(index % 3)}/tasks`, {
                method: "POST",
                headers: { "idempotency-key": `night-${index}` },
                body: JSON.stringify({ team: "rosters", class: family, cpus: 4, memoryGb: 8 }),
            });
        }
    }

    private async isBatchDone(): Promise<boolean> {
        const response = await fetch(`${this.deployment.origin(0)}/tasks`);
        const { tasks } = (await response.json()) as { tasks?: { state: string }[] };
        return (tasks ?? []).filter(task => task.state === "done").length >= BATCH_TASKS;
    }
}

/** @returns Exit code: 0 if no invariant was violated and the batch is done. */
export async function runDemo(): Promise<number> {
    const demo = await Demo.start();
    return demo.run();
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
