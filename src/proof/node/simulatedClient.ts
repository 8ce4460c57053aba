import { ApiReply } from "../../serving/common/apiMessages";
import { TaskRequest } from "../../scheduling/common/taskEntry";
import { SimulatedInstance } from "./simulatedInstance";
import { Random } from "./random";
import { SERVICE } from "./simulatedCluster";

/** State of a submission as its client knows it. */
export type SubmissionState = "asked" | "accepted" | "not-run" | "unknown";

const QUOTE_DEADLINE_MS = 2_000;

/** Simulates the clients and operators of a trial, and records the replies that they receive. */
export class SimulatedClient {
    /** State of each submission, by key. */
    readonly submissions = new Map<string, SubmissionState>();
    /** Keys of tasks and requests whose outcome was `not-run`. */
    readonly notRunKeys = new Set<string>();
    /** Numbers of the tickets whose verdict was `in-force`. */
    readonly acceptedTickets = new Set<number>();
    readonly cancelled = new Set<string>();
    /** Number of requests by outcome and reason. */
    readonly outcomeCounts: Record<string, number> = {};
    readonly counts = { submissions: 0, quotes: 0, quotesDone: 0, tickets: 0, ticketsAccepted: 0, ticketsLost: 0 };
    /**
     * Times from a quote's request to the head of its response, in ms. A failed quote counts with its deadline, for which
     * its client waits.
     */
    readonly latencies: number[] = [];
    private lastKey = 0;

    private constructor() {}

    /** @returns Clients that have sent nothing. */
    static create(): SimulatedClient {
        return new SimulatedClient();
    }

    /** Submits a random task to an instance. */
    submit(node: SimulatedInstance, random: Random): void {
        this.lastKey += 1;
        const isNonIdempotent = random.chance(0.2);
        const key = `${isNonIdempotent ? "once" : "task"}-${this.lastKey}`;
        this.submitTask(node, key, randomTask(key, isNonIdempotent, random));
    }

    /** Submits a task again, possibly through another instance, as a client does that received no reply. */
    resubmit(node: SimulatedInstance, random: Random): void {
        const repeatable = [...this.submissions].filter(([, state]) => state === "unknown" || state === "accepted");
        if (repeatable.length > 0) {
            const [key] = random.pick(repeatable);
            this.submitTask(node, key, randomTask(key, key.includes("once"), random));
        }
    }

    /** Submits a task of a family with its declared CPUs. */
    submitFamily(node: SimulatedInstance, family: string, declaredCpus: number): void {
        this.lastKey += 1;
        const key = `task-${this.lastKey}`;
        this.submitTask(node, key, { ...SCENARIO_TASK, key, payload: key, family, cpus: declaredCpus });
    }

    /** Cancels 1 to 10 of the most recently accepted tasks. */
    cancelRecent(node: SimulatedInstance, random: Random): void {
        const accepted = [...this.submissions].filter(([, state]) => state === "accepted").map(([key]) => key);
        for (const key of accepted.slice(-random.between(1, 10))) {
            this.cancelled.add(key);
            node.callApi({ kind: "task-cancel", key }, () => undefined);
        }
    }

    /** Requests 1 to 6 quotes. */
    requestQuotes(node: SimulatedInstance, random: Random): void {
        for (let count = random.between(1, 6); count > 0; count--) {
            this.lastKey += 1;
            const isNonIdempotent = random.chance(0.5);
            const key = `${isNonIdempotent ? "once-" : ""}quote-${this.lastKey}`;
            this.counts.quotes += 1;
            const sentAt = performance.now();
            node.request(key, SERVICE, !isNonIdempotent, QUOTE_DEADLINE_MS, (outcome, reason) => {
                this.outcomeCounts[`${outcome} ${reason ?? ""}`] =
                    (this.outcomeCounts[`${outcome} ${reason ?? ""}`] ?? 0) + 1;
                this.counts.quotesDone += outcome === "done" ? 1 : 0;
                this.latencies.push(outcome === "done" ? performance.now() - sentAt : QUOTE_DEADLINE_MS);
                if (outcome === "not-run") {
                    this.notRunKeys.add(key);
                }
            });
        }
    }

    /** Lets two operators file tickets, possibly with the same number at the same time. */
    fileTickets(nodes: readonly SimulatedInstance[], random: Random): void {
        const latestNumber = Math.max(0, ...nodes.map(node => node.instance.shared.ticketFold.latestNumber));
        for (const node of [random.pick(nodes), random.pick(nodes)]) {
            const number = latestNumber + random.between(1, 2);
            const basedOn = Math.max(0, latestNumber - random.between(0, 1));
            const weights = { tailLatency: random.between(0, 9), throughput: 1, evictions: 1 };
            const objects = [
                { key: "service/quotes", value: SERVICE_SPEC },
                {
                    key: `team/team-${random.between(0, 4)}`,
                    value: JSON.stringify({ guaranteedSlots: 9, maxSlots: 99 }),
                },
                { key: "policy/weights", value: JSON.stringify(weights) },
            ];
            this.counts.tickets += 1;
            const draft = { number, basedOn, author: node.name, reason: "trial", objects };
            node.callApi({ kind: "ticket-file", draft }, reply => this.recordVerdict(reply));
        }
    }

    private submitTask(node: SimulatedInstance, key: string, request: TaskRequest): void {
        this.counts.submissions += 1;
        const previous = this.submissions.get(key);
        this.submissions.set(key, previous ?? "asked");
        node.callApi({ kind: "task-submit", request }, reply => this.recordSubmission(key, previous, reply));
    }

    private recordSubmission(key: string, previous: SubmissionState | undefined, reply: ApiReply): void {
        if (reply.kind === "task-accepted") {
            this.submissions.set(key, "accepted");
        } else if (previous === undefined && (reply.kind === "not-run" || reply.kind === "unknown")) {
            this.submissions.set(key, reply.kind);
            if (reply.kind === "not-run") {
                this.notRunKeys.add(key);
            }
        }
    }

    private recordVerdict(reply: ApiReply): void {
        if (reply.kind !== "ticket-verdict") {
            return;
        }
        const { state, number } = reply.verdict;
        this.counts.ticketsAccepted += state === "in-force" ? 1 : 0;
        this.counts.ticketsLost += state === "lost" ? 1 : 0;
        if (state === "in-force") {
            this.acceptedTickets.add(number);
        }
    }
}

const SCENARIO_TASK = {
    team: "team-0",
    urgency: "normal",
    idempotency: "idempotent",
    memoryGb: 2,
    accelerators: 0,
    durationMs: 20_000,
    dueAt: 0,
} as const;

const SERVICE_SPEC = JSON.stringify({ cpus: 2, memoryGb: 4, deadlineMs: 2_000, requestClass: "non-idempotent" });

function randomTask(key: string, isNonIdempotent: boolean, random: Random): TaskRequest {
    const family = random.pick(["quick", "quick", "long", "hungry", "flaky", "broken"]);
    const isInfeasible = random.chance(0.03);
    return {
        key,
        team: `team-${random.between(0, 4)}`,
        family,
        urgency: random.chance(0.2) ? "urgent" : "normal",
        idempotency: isNonIdempotent ? "non-idempotent" : "idempotent",
        cpus: isInfeasible ? 1_000 : random.between(1, 8),
        memoryGb: random.between(1, 12),
        accelerators: random.chance(0.1) ? 1 : 0,
        durationMs: 10_000,
        dueAt: 0,
        // The execution checker identifies a task by the key in its payload.
        payload: key,
    };
}
