import test from "ava";
import { LocalDeployment } from "../localDeployment";
import { waitUntil } from "../../common/wait";

const PATIENCE_MS = 30_000;

const ticket = `
number: 1
author: test
reason: first services
services:
    archebu: { cpus: 2, memoryGb: 4, deadlineMs: 2000, requestClass: non-idempotent }
policy: { tailLatency: 10, throughput: 1, evictions: 1 }
`;

test.serial("a ticket, a quote and a task go through three instances from end to end", async t => {
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
    await waitUntil(async () => (await fetchJson(0, "/readyz")).status === 200, PATIENCE_MS, "readiness");

    const filed = await fetchJson(0, "/tickets", { method: "POST", body: ticket });
    t.is(filed.status, 200);
    t.is(filed.body.state, "in-force");
    for (const index of [0, 1, 2]) {
        const inForce = async () => (await fetchJson(index, "/in-force")).body.ticket === 1;
        await waitUntil(inForce, PATIENCE_MS, `the ticket on instance ${index}`);
    }

    let quote = new Response();
    const ask = async () => {
        quote = await fetch(`${deployment.origin(1)}/services/archebu/quote`, { method: "POST", body: "slate roof" });
        return quote.status === 200;
    };
    await waitUntil(ask, PATIENCE_MS, "a quote");
    t.is(quote.headers.get("x-wigeonstall-outcome"), "done");
    t.regex(await quote.text(), /archebu on worker-\d: slate roof/);

    const submitted = await fetchJson(2, "/tasks", {
        method: "POST",
        headers: { "idempotency-key": "roster-1" },
        body: JSON.stringify({ team: "rosters", class: "roster" }),
    });
    t.is(submitted.status, 202);
    let shown = submitted;
    const isDone = async () => {
        shown = await fetchJson(0, "/tasks/roster-1");
        return shown.body.state === "done";
    };
    await waitUntil(isDone, PATIENCE_MS, "the task");
    t.is(shown.body.outcome, "done");
    t.is(shown.body.attempts, 1);
    t.regex(String(shown.body.result), /^done on worker-\d$/);
});
