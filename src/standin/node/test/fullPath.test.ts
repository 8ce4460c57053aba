import test from "ava";
import { LocalDeployment } from "../localDeployment";
import { waitUntil } from "../../common/wait";

const TIMEOUT_MS = 30_000;

const TICKET = `
number: 1
author: test
reason: first services
services:
    archebu: { cpus: 2, memoryGb: 4, deadlineMs: 2000, requestClass: non-idempotent }
policy: { tailLatency: 10, throughput: 1, evictions: 1 }
`;

test.serial("three instances handle a ticket, a request and a task end to end", async t => {
    const deployment = await LocalDeployment.start({
        service: "archebu",
        region: "de-cymru",
        failureDomains: ["caerdydd", "abertawe"],
        workers: 4,
        instances: 3,
        shards: 3,
        seed: 1,
        workload: {
            families: { roster: { cpus: 2, memoryGb: 2, durationMs: 500, failureRate: 0 } },
            interference: {},
        },
    });
    t.teardown(() => deployment.dispose());
    const fetchJson = async (index: number, path: string, init?: RequestInit) => {
        const response = await fetch(`${deployment.origin(index)}${path}`, init);
        return { status: response.status, body: (await response.json()) as Record<string, unknown> };
    };
    await waitUntil(async () => (await fetchJson(0, "/readyz")).status === 200, TIMEOUT_MS, "readiness");

    const filed = await fetchJson(0, "/tickets", { method: "POST", body: TICKET });
    t.is(filed.status, 200);
    t.is(filed.body.state, "in-force");
    for (const index of [0, 1, 2]) {
        const isInForce = async () => (await fetchJson(index, "/in-force")).body.ticket === 1;
        await waitUntil(isInForce, TIMEOUT_MS, `the ticket on instance ${index}`);
    }

    let quote = new Response();
    const isQuoted = async () => {
        quote = await fetch(`${deployment.origin(1)}/services/archebu/quote`, { method: "POST", body: "slate roof" });
        return quote.status === 200;
    };
    await waitUntil(isQuoted, TIMEOUT_MS, "a quote");
    t.is(quote.headers.get("x-wigeonstall-outcome"), "done");
    t.regex(await quote.text(), /archebu on worker-\d: slate roof/);

    const submitted = await fetchJson(2, "/tasks", {
        method: "POST",
        headers: { "idempotency-key": "roster-1" },
        body: JSON.stringify({ team: "rosters", class: "roster" }),
    });
    t.is(submitted.status, 202);
    let task = submitted;
    const isDone = async () => {
        task = await fetchJson(0, "/tasks/roster-1");
        return task.body.state === "done";
    };
    await waitUntil(isDone, TIMEOUT_MS, "the task");
    t.is(task.body.outcome, "done");
    t.is(task.body.attempts, 1);
    t.regex(String(task.body.result), /^done on worker-\d$/);
});
