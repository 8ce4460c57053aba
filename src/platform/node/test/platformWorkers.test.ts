import { once } from "node:events";
import { createServer } from "node:http";
import { AddressInfo } from "node:net";
import test, { ExecutionContext } from "ava";
import { WorkerEntry } from "../../../dispatch/common/workers/workerEntry";
import { HttpClient } from "../../../services/node/httpClient";
import { PlatformWorkers } from "../platformWorkers";

const ORDER = { fence: 1, leaseUntil: undefined, recordedUpTo: 0, waitMs: 0 };

function createEntry(id: string, address: string, failureDomain = "z"): WorkerEntry {
    return {
        id,
        incarnation: 1,
        service: "svc",
        address,
        failureDomain,
        state: "ready",
        warmupLeftMs: 0,
        capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
        labels: [],
        rack: "",
    };
}

test("an order to an address or id that no request can name is answered as failed and throws nothing", async t => {
    const client = HttpClient.create();
    const workers = PlatformWorkers.create(client, () => undefined);
    for (const address of ["", "x", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-1", "a b:1", "[::g]:1", "\ud800:1"]) {
        const answer = await workers.listRuns(createEntry("w", address), ORDER);
        t.regex(answer.outcome, /^(no-answer|unreachable)$/, JSON.stringify(address));
        workers.closeConnections(createEntry("w", address));
    }
    for (const id of ["w\r\nx: y", "\ufffd", "w\u0000"]) {
        const answer = await workers.listRuns(createEntry(id, "127.0.0.1:9"), ORDER);
        t.regex(answer.outcome, /^(no-answer|unreachable)$/, JSON.stringify(id));
    }
    client.dispose();
});

/** @returns Address of a worker that answers after a time in ms. */
async function startWorker(t: ExecutionContext, delayMs: number): Promise<string> {
    const server = createServer((_, response) => {
        setTimeout(() => response.end(JSON.stringify({ clockMs: 1, born: 1, running: [], ended: [] })), delayMs);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Calls that timed out were not counted, and those to near workers kept the average low.
test("workers behind a slow link are reached after some calls although others answer at once", async t => {
    const near = createEntry("near", await startWorker(t, 0), "near");
    const addresses = await Promise.all(Array.from({ length: 14 }, () => startWorker(t, 1_100)));
    const far = addresses.map((address, index) => createEntry(`far-${index}`, address, "far"));
    const client = HttpClient.create();
    const workers = PlatformWorkers.create(client, () => undefined);
    const listFar = () => Promise.all(far.map(worker => workers.listRuns(worker, ORDER)));
    for (let round = 0; round < 2; round++) {
        await listFar();
        await Promise.all(Array.from({ length: 30 }, () => workers.listRuns(near, ORDER)));
    }
    const outcomes = (await listFar()).map(each => each.outcome);
    client.dispose();
    t.true(outcomes.includes("done"), outcomes.join(" "));
});
