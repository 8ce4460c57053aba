import test, { ExecutionContext } from "ava";
import { waitUntil } from "../../common/wait";
import { LocalDeployment, LocalDeploymentOptions } from "../localDeployment";

const TIMEOUT_MS = 40_000;

const OPTIONS: LocalDeploymentOptions = {
    service: "quotes",
    region: "north",
    failureDomains: ["one", "two"],
    workers: 4,
    instances: 2,
    shards: 1,
    seed: 1,
    workload: {
        families: { quick: { cpus: 1, memoryGb: 1, durationMs: 300, failureRate: 0 } },
        interference: {},
    },
};

const TICKET = "number: 1\nauthor: a\nreason: r\npolicy: { tailLatency: 1, throughput: 1, evictions: 1 }\n";

async function start(t: ExecutionContext, changes: Partial<LocalDeploymentOptions> = {}): Promise<LocalDeployment> {
    const deployment = await LocalDeployment.start({ ...OPTIONS, ...changes });
    t.teardown(() => deployment.dispose());
    for (let index = 0; index < deployment.instances.length; index++) {
        await waitUntil(() => isReady(deployment, index), TIMEOUT_MS, `readiness of instance ${index}`);
    }
    return deployment;
}

async function isReady(deployment: LocalDeployment, index: number): Promise<boolean> {
    return (await fetch(`${deployment.origin(index)}/readyz`)).status === 200;
}

function quote(deployment: LocalDeployment, index: number, headers: Record<string, string> = {}): Promise<Response> {
    return fetch(`${deployment.origin(index)}/services/quotes/x`, { method: "POST", body: "roof", headers });
}

async function submit(deployment: LocalDeployment, index: number, key: string): Promise<number> {
    const response = await fetch(`${deployment.origin(index)}/tasks`, {
        method: "POST",
        headers: { "idempotency-key": key },
        body: JSON.stringify({ team: "t", class: "quick" }),
    });
    return response.status;
}

async function stateOf(deployment: LocalDeployment, index: number, key: string): Promise<string> {
    const response = await fetch(`${deployment.origin(index)}/tasks/${key}`);
    return String(((await response.json()) as { state?: string }).state);
}

test("a task is not lost when the instance that accepted it crashes", async t => {
    const deployment = await start(t);
    t.is(await submit(deployment, 0, "task-1"), 202);
    deployment.kill(0);
    const isDone = async () => (await stateOf(deployment, 1, "task-1")) === "done";
    await waitUntil(isDone, TIMEOUT_MS, "the end of the task");
    t.is((await quote(deployment, 1)).status, 200);
});

test("during a log outage requests are served, submissions are refused at once, and a new instance gets the state from a peer", async t => {
    const deployment = await start(t);
    const filed = await fetch(`${deployment.origin(0)}/tickets`, { method: "POST", body: TICKET });
    t.is(filed.status, 200);
    await waitUntil(
        () => deployment.instances[0].instance.shared.ticketFold.latestNumber === 1,
        TIMEOUT_MS,
        "the ticket",
    );
    deployment.kill(1);
    deployment.platform.log.faults.isDown = true;
    await deployment.replace(1);
    const hasTicket = () => deployment.instances[1].instance.shared.ticketFold.latestNumber === 1;
    await waitUntil(hasTicket, TIMEOUT_MS, "the state from another instance");
    t.is((await quote(deployment, 0)).status, 200);
    // The first submission may be the call that detects the outage.
    await submit(deployment, 0, "refused-0");
    const refused = await fetch(`${deployment.origin(0)}/tasks`, {
        method: "POST",
        headers: { "idempotency-key": "refused-1" },
        body: JSON.stringify({ team: "t", class: "quick" }),
    });
    t.is(refused.status, 503);
    t.is(refused.headers.get("x-wigeonstall-outcome"), "not-run");
    t.truthy(refused.headers.get("retry-after"));
});

test("stalled connections are replaced, and a non-idempotent request is not sent again", async t => {
    const deployment = await start(t, { instances: 1, workers: 1 });
    t.is((await quote(deployment, 0)).status, 200);
    const [worker] = deployment.workers;
    worker.stallOpenConnections();
    const interrupted = await quote(deployment, 0, { "x-deadline-ms": "2500", "idempotency-key": "once" });
    t.is(interrupted.headers.get("x-wigeonstall-outcome"), "unknown");
    const isServed = async () => (await quote(deployment, 0)).status === 200;
    await waitUntil(isServed, TIMEOUT_MS, "a quote on a new connection");
    t.is(worker.executedKeys.filter(key => key === "once").length, 0);
});

test("an idempotent request on a stalled connection is retried on a new one", async t => {
    const deployment = await start(t, { instances: 1, workers: 1 });
    t.is((await quote(deployment, 0)).status, 200);
    deployment.workers[0].stallOpenConnections();
    const headers = { "x-request-class": "idempotent", "x-deadline-ms": "8000" };
    const response = await quote(deployment, 0, headers);
    t.is(response.status, 200);
    t.is(await response.text(), "quotes on worker-0: roof\n");
});

test("a planned stop interrupts no request in flight and hands over the shards", async t => {
    const deployment = await start(t, { workers: 4 });
    const responses = Array.from({ length: 6 }, () => quote(deployment, 0));
    await new Promise(resolve => setTimeout(resolve, 5));
    const stopped = deployment.instances[0].stop();
    for (const response of await Promise.all(responses)) {
        t.true(response.status === 200 || response.headers.get("x-wigeonstall-outcome") === "not-run");
        await response.text();
    }
    await stopped;
    const shardState = () => deployment.instances[1].instance.shared.ownership.get("north-0").state;
    await waitUntil(() => shardState() === "owning", TIMEOUT_MS, "the new owner");
    t.is(await submit(deployment, 1, "after"), 202);
});

test("operators need their key, and invalid input is rejected with its findings", async t => {
    const deployment = await start(t, { instances: 1 });
    const { settings } = deployment.instances[0] as unknown as { settings: { keys: { operators: string } } };
    settings.keys.operators = "secret";
    const origin = deployment.origin(0);
    t.is((await fetch(`${origin}/in-force`)).status, 401);
    const authorized = { authorization: "Bearer secret" };
    t.is((await fetch(`${origin}/in-force`, { headers: authorized })).status, 200);
    const rejected = await fetch(`${origin}/tickets`, {
        method: "POST",
        headers: authorized,
        body: "number: x\ncolour: red\n",
    });
    t.is(rejected.status, 400);
    const { findings } = (await rejected.json()) as { findings: string[] };
    t.true(findings.some(each => each.startsWith("body:1:9: number")));
    t.true(findings.some(each => each.startsWith("body:2:1: unknown key colour")));
    t.is((await fetch(`${origin}/tasks`, { method: "POST", body: "{}" })).status, 400);
    t.is((await fetch(`${origin}/services/none/x`)).status, 404);
    t.is((await quote(deployment, 0, { "x-deadline-ms": "soon" })).status, 400);
    t.is((await fetch(`${origin}/services/quotes/x`, { method: "POST", body: "x".repeat(2_000_000) })).status, 413);
});
