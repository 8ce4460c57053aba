import test from "ava";
import { WorkerEntry } from "../../../dispatch/common/workerEntry";
import { HttpClient } from "../../../services/node/httpClient";
import { PlatformWorkers } from "../platformWorkers";

const ORDER = { epoch: 1, leaseUntil: undefined, recordedUpTo: 0, waitMs: 0 };

function createEntry(id: string, address: string): WorkerEntry {
    return {
        id,
        incarnation: 1,
        service: "svc",
        address,
        failureDomain: "z",
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
