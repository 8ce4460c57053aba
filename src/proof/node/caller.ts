import { DeskReply } from "../../serving/common/deskTraffic";
import { TaskRequest } from "../../scheduling/common/taskEntry";
import { FakeNode } from "./fakeNode";
import { Random } from "./random";
import { SERVICE } from "./world";

/** What a caller was told of a submission. */
export type SubmissionState = "asked" | "accepted" | "not-run" | "unknown";

const DEADLINE_MS = 2_000;

/** Callers and operators of a trial, and what they were told. */
export class Caller {
    /** What was told of each submission, by key. */
    readonly submissions = new Map<string, SubmissionState>();
    /** Keys whose callers were told that the task did not run, or the request. */
    readonly notRun = new Set<string>();
    /** Numbers of the tickets that were told to be in force. */
    readonly acceptedTickets = new Set<number>();
    readonly cancelled = new Set<string>();
    readonly refusals: Record<string, number> = {};
    readonly counts = { submissions: 0, quotes: 0, quotesDone: 0, tickets: 0, ticketsAccepted: 0, ticketsLost: 0 };
    /** Times from a quote's request to the head of its answer, in ms. */
    readonly latencies: number[] = [];
    private nextKey = 0;

    private constructor() {}

    /** @returns Callers that have asked for nothing. */
    static create(): Caller {
        return new Caller();
    }

    /** Submits a task to an instance. */
    submit(node: FakeNode, random: Random): void {
        this.nextKey += 1;
        const once = random.chance(0.2);
        const key = `${once ? "once" : "task"}-${this.nextKey}`;
        this.send(node, key, randomTask(key, once, random));
    }

    /** Submits a task again, through another instance, as a caller does that got no answer. */
    resubmit(node: FakeNode, random: Random): void {
        const unclear = [...this.submissions].filter(([, state]) => state === "unknown" || state === "accepted");
        if (unclear.length > 0) {
            const [key] = random.pick(unclear);
            this.send(node, key, randomTask(key, key.includes("once"), random));
        }
    }

    /** Submits a task of a family as it is declared. */
    submitFamily(node: FakeNode, family: string, declaredCpus: number): void {
        this.nextKey += 1;
        const key = `task-${this.nextKey}`;
        this.send(node, key, { ...BENCH_TASK, key, payload: key, family, cpus: declaredCpus });
    }

    /** Cancels some of the tasks. */
    cancelBurst(node: FakeNode, random: Random): void {
        const accepted = [...this.submissions].filter(([, state]) => state === "accepted").map(([key]) => key);
        for (const key of accepted.slice(-random.between(1, 10))) {
            this.cancelled.add(key);
            node.wish({ kind: "task-cancel", key }, () => undefined);
        }
    }

    /** Asks for quotes. */
    askQuotes(node: FakeNode, random: Random): void {
        for (let count = random.between(1, 6); count > 0; count--) {
            this.nextKey += 1;
            const once = random.chance(0.5);
            const key = `${once ? "once-" : ""}quote-${this.nextKey}`;
            this.counts.quotes += 1;
            const askedAt = performance.now();
            node.request(key, SERVICE, !once, DEADLINE_MS, (outcome, reason) => {
                this.refusals[`${outcome} ${reason ?? ""}`] = (this.refusals[`${outcome} ${reason ?? ""}`] ?? 0) + 1;
                this.counts.quotesDone += outcome === "done" ? 1 : 0;
                // A quote that is not answered has taken the caller's whole patience.
                this.latencies.push(outcome === "done" ? performance.now() - askedAt : DEADLINE_MS);
                if (outcome === "not-run") {
                    this.notRun.add(key);
                }
            });
        }
    }

    /** Lets two operators file tickets, perhaps with the same number at the same moment. */
    fileTickets(nodes: readonly FakeNode[], random: Random): void {
        const latest = Math.max(0, ...nodes.map(node => node.instance.shared.ticketFold.latestNumber));
        for (const node of [random.pick(nodes), random.pick(nodes)]) {
            const number = latest + random.between(1, 2);
            const basedOn = Math.max(0, latest - random.between(0, 1));
            const weights = { tailLatency: random.between(0, 9), throughput: 1, evictions: 1 };
            const objects = [
                { key: "service/quotes", value: SERVICE_STATE },
                {
                    key: `team/team-${random.between(0, 4)}`,
                    value: JSON.stringify({ guaranteedSlots: 9, maxSlots: 99 }),
                },
                { key: "policy/weights", value: JSON.stringify(weights) },
            ];
            this.counts.tickets += 1;
            const draft = { number, basedOn, author: node.name, reason: "trial", objects };
            node.wish({ kind: "ticket-file", draft }, reply => this.noteVerdict(reply));
        }
    }

    private send(node: FakeNode, key: string, request: TaskRequest): void {
        this.counts.submissions += 1;
        const before = this.submissions.get(key);
        this.submissions.set(key, before ?? "asked");
        node.wish({ kind: "task-submit", request }, reply => this.noteSubmission(key, before, reply));
    }

    private noteSubmission(key: string, before: SubmissionState | undefined, reply: DeskReply): void {
        if (reply.kind === "task-accepted") {
            this.submissions.set(key, "accepted");
        } else if (before === undefined && (reply.kind === "not-run" || reply.kind === "unknown")) {
            this.submissions.set(key, reply.kind);
            if (reply.kind === "not-run") {
                this.notRun.add(key);
            }
        }
    }

    private noteVerdict(reply: DeskReply): void {
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

const BENCH_TASK = {
    team: "team-0",
    urgency: "normal",
    idempotency: "idempotent",
    memoryGb: 2,
    accelerators: 0,
    durationMs: 20_000,
    dueAt: 0,
} as const;

const SERVICE_STATE = JSON.stringify({ cpus: 2, memoryGb: 4, deadlineMs: 2_000, requestClass: "non-idempotent" });

function randomTask(key: string, once: boolean, random: Random): TaskRequest {
    const family = random.pick(["quick", "quick", "long", "hungry", "flaky", "broken"]);
    const impossible = random.chance(0.03);
    return {
        key,
        team: `team-${random.between(0, 4)}`,
        family,
        urgency: random.chance(0.2) ? "urgent" : "normal",
        idempotency: once ? "non-idempotent" : "idempotent",
        cpus: impossible ? 1_000 : random.between(1, 8),
        memoryGb: random.between(1, 12),
        accelerators: random.chance(0.1) ? 1 : 0,
        durationMs: 10_000,
        dueAt: 0,
        // The witness knows a task by its key.
        payload: key,
    };
}
