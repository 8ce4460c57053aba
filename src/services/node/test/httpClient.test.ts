import test from "ava";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { isNotSent } from "../connectionPool";
import { HttpClient } from "../httpClient";

/** Timeout of a call in ms; leaves a loopback connection enough time to open. */
const TIMEOUT_MS = 300;

async function startServer(onRequest: (request: IncomingMessage, response: ServerResponse) => void): Promise<Server> {
    const server = createServer(onRequest);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

function originOf(server: Server): string {
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function stopServer(server: Server): void {
    server.closeAllConnections();
    server.close();
}

test("a call returns the status, the headers and the complete body", async t => {
    const server = await startServer((request, response) => {
        request.pipe(response.writeHead(201, { "x-kind": "echo" }));
    });
    const client = HttpClient.create();
    const response = await client.call({
        origin: originOf(server),
        method: "POST",
        path: "/",
        body: "a".repeat(100_000),
        timeoutMs: 10_000,
    });
    t.is(response.status, 201);
    t.is(response.headers["x-kind"], "echo");
    t.is(response.body.length, 100_000);
    client.dispose();
    stopServer(server);
});

test("a call that was sent but got no response may have taken effect", async t => {
    const server = await startServer(() => undefined);
    const client = HttpClient.create();
    const call = { origin: originOf(server), method: "GET", path: "/", timeoutMs: TIMEOUT_MS } as const;
    const error = await t.throwsAsync(client.call(call));
    t.false(isNotSent(error));
    client.dispose();
    stopServer(server);
});

test("a response that arrives slowly is awaited as long as data arrives, one that stalls is given up", async t => {
    const server = await startServer((request, response) => {
        let chunks = 0;
        const timer = setInterval(() => {
            chunks += 1;
            response.write("x");
            if (chunks === 10 || (chunks === 2 && request.url === "/stalls")) {
                clearInterval(timer);
            }
            if (chunks === 10) {
                response.end();
            }
        }, TIMEOUT_MS / 5);
    });
    const client = HttpClient.create();
    const call = { origin: originOf(server), method: "GET", timeoutMs: TIMEOUT_MS } as const;
    const slow = await client.call({ ...call, path: "/", idleTimeoutMs: TIMEOUT_MS });
    t.is(slow.body.length, 10);
    await t.throwsAsync(client.call({ ...call, path: "/stalls", idleTimeoutMs: TIMEOUT_MS }));
    await t.throwsAsync(client.call({ ...call, path: "/" }));
    client.dispose();
    stopServer(server);
});

/** Blocks the event loop, as a process does that gets no processor time. @param ms For how long, in ms. */
function block(ms: number): void {
    for (const until = performance.now() + ms; performance.now() < until;) {
        // Nothing else runs meanwhile.
    }
}

test.serial("a response that has arrived while the process was delayed is not given up", async t => {
    const server = await startServer((_, response) => {
        response.write("x");
        setTimeout(() => {
            response.end("y");
            block(2 * TIMEOUT_MS);
        }, TIMEOUT_MS / 5);
    });
    const client = HttpClient.create();
    const call = { origin: originOf(server), method: "GET", path: "/", timeoutMs: TIMEOUT_MS } as const;
    for (const idleTimeoutMs of [undefined, TIMEOUT_MS]) {
        const { body } = await client.call({ ...call, idleTimeoutMs });
        t.is(Buffer.from(body).toString(), "xy");
    }
    client.dispose();
    stopServer(server);
});

test("a call that found no free connection in time is reported as not sent, and is never sent", async t => {
    const receivedPaths: string[] = [];
    const responses: ServerResponse[] = [];
    const server = await startServer((request, response) => {
        receivedPaths.push(request.url!);
        responses.push(response);
    });
    const client = HttpClient.create({ connections: 1 });
    const origin = originOf(server);
    const sent: string[] = [];
    const onSent = (path: string) => () => sent.push(path);
    const first = client.call({ origin, method: "GET", path: "/first", timeoutMs: 60_000, onSent: onSent("first") });
    const late = { origin, method: "POST", path: "/second", body: "x", timeoutMs: TIMEOUT_MS } as const;
    const second = client.call({ ...late, onSent: onSent("second") });
    const error = await t.throwsAsync(second);
    t.true(isNotSent(error));
    responses[0].end();
    await first;
    const third = client.call({ origin, method: "GET", path: "/third", timeoutMs: 60_000 });
    while (responses.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.deepEqual(sent, ["first"]);
    responses[1].end();
    await third;
    t.deepEqual(receivedPaths, ["/first", "/third"]);
    client.dispose();
    stopServer(server);
});
