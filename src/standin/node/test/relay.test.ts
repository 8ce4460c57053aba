import { createServer, RequestListener } from "node:http";
import { AddressInfo } from "node:net";
import test, { ExecutionContext } from "ava";
import { Invariants } from "../../../base/common/invariants";
import { waitUntil } from "../../common/wait";
import { LocalDeployment } from "../localDeployment";

const TIMEOUT_MS = 30_000;
const LARGE_RESPONSE_BYTES = 3_000_000;
const EVENT_COUNT = 5;

/** Starts an instance whose only upstream is a server of the test. */
async function start(t: ExecutionContext, serve: RequestListener): Promise<LocalDeployment> {
    const server = createServer();
    server.on("request", serve);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const deployment = await LocalDeployment.start({
        service: "quotes",
        region: "north",
        failureDomains: ["one"],
        workers: 1,
        instances: 1,
        shards: 1,
        seed: 1,
        workload: { families: {}, interference: {} },
    });
    t.teardown(() => {
        deployment.dispose();
        server.closeAllConnections();
        server.close();
    });
    const isReady = async () => (await fetch(`${deployment.origin(0)}/readyz`)).status === 200;
    await waitUntil(isReady, TIMEOUT_MS, "readiness");
    // Replaces the worker's address by that of the test's server.
    const { directory } = deployment.instances[0].instance.shared;
    const { port } = server.address() as AddressInfo;
    const listing = { ...directory.worker("worker-0")!, address: `127.0.0.1:${port}` };
    directory.update({ workers: [listing], entries: directory.entries });
    return deployment;
}

test("a large response arrives complete", async t => {
    const deployment = await start(t, (_request, response) => response.end(Buffer.alloc(LARGE_RESPONSE_BYTES, "x")));
    const relayed = await fetch(`${deployment.origin(0)}/services/quotes/large`);
    t.is((await relayed.arrayBuffer()).byteLength, LARGE_RESPONSE_BYTES);
    t.is(Invariants.instance.violationCounts().get("whole-answer"), undefined);
});

test("a response that breaks off is never reported as complete", async t => {
    const deployment = await start(
        t,
        (
            _request: unknown,
            response: { writeHead(status: number): void; write(body: Buffer): void; destroy(): void },
        ) => {
            response.writeHead(200);
            response.write(Buffer.alloc(50_000, "x"));
            setTimeout(() => response.destroy(), 50);
        },
    );
    const relayed = await fetch(`${deployment.origin(0)}/services/quotes/broken`, {
        headers: { "x-request-class": "non-idempotent" },
    });
    await t.throwsAsync(() => relayed.arrayBuffer());
});

test("a planned stop waits for the end of a streamed response", async t => {
    const deployment = await start(t, (_request, response) => {
        response.writeHead(200);
        let sent = 0;
        const timer = setInterval(() => {
            sent += 1;
            response.write(`data: ${sent}\n\n`);
            if (sent === EVENT_COUNT) {
                clearInterval(timer);
                response.end();
            }
        }, 400);
    });
    const relayed = await fetch(`${deployment.origin(0)}/services/quotes/watch`, {
        headers: { accept: "text/event-stream" },
    });
    const stopped = deployment.instances[0].stop();
    const text = await relayed.text();
    t.is(text.match(/data: /g)?.length, EVENT_COUNT);
    await stopped;
    t.is(Invariants.instance.violationCounts().get("graceful-stop"), undefined);
});
