import { once } from "node:events";
import { get, IncomingMessage } from "node:http";
import { createServer } from "node:net";
import test, { ExecutionContext } from "ava";
import { LocalDeployment } from "../localDeployment";

/** Address on which other processes open and use ports at any time. */
const SHARED_HOST = "127.0.0.1";

/** Loopback address that neither a deployment nor another process uses; deployments end at 127.128.255.255. */
const UNUSED_HOST = `127.${129 + ((process.pid >> 16) & 0x3f)}.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

const INSTANCES = [0, 1];

async function start(t: ExecutionContext): Promise<LocalDeployment> {
    const deployment = await LocalDeployment.start({
        service: "archebu",
        region: "de-cymru",
        failureDomains: ["caerdydd"],
        workers: 1,
        instances: INSTANCES.length,
        shards: 1,
        seed: 1,
        workload: { families: {}, interference: {} },
    });
    t.teardown(() => deployment.dispose());
    return deployment;
}

/** Opens a port until the test ends. @throws The system error if listening fails. */
async function open(t: ExecutionContext, host: string, port: number): Promise<void> {
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    t.teardown(() => server.close());
}

/** Opens a port of the shared address until the test ends, unless it is in use there already, which serves as well. */
async function openShared(t: ExecutionContext, port: number): Promise<void> {
    try {
        await open(t, SHARED_HOST, port);
    } catch (error) {
        t.is((error as NodeJS.ErrnoException).code, "EADDRINUSE");
    }
}

/** @returns The status of an instance's answer over a new connection. */
async function statusOf(origin: string): Promise<number | undefined> {
    const [response] = (await once(get(`${origin}/healthz`, { agent: false }), "response")) as [IncomingMessage];
    response.resume();
    return response.statusCode;
}

/**
 * Checks that an instance answers on an address of its own only. The port can be opened on the unused address unless the
 * instance listens on all addresses; while it is open there, no other process can listen on all addresses.
 * @returns The port of the instance.
 */
async function checkOwnAddress(t: ExecutionContext, origin: string): Promise<number> {
    const { hostname, port } = new URL(origin);
    t.not(hostname, SHARED_HOST);
    t.not(hostname, UNUSED_HOST);
    t.is(await statusOf(origin), 200);
    await t.notThrowsAsync(open(t, UNUSED_HOST, Number(port)));
    return Number(port);
}

test.serial("a deployment answers on its own address after another process opened its ports on 127.0.0.1", async t => {
    const deployment = await start(t);
    for (const index of INSTANCES) {
        const origin = deployment.origin(index);
        await openShared(t, await checkOwnAddress(t, origin));
        t.is(await statusOf(origin), 200);
    }
});

test.serial("an instance starts on its own address while another process has its port open on 127.0.0.1", async t => {
    const deployment = await start(t);
    for (const index of INSTANCES) {
        const origin = deployment.origin(index);
        const port = await checkOwnAddress(t, origin);
        deployment.kill(index);
        await t.throwsAsync(statusOf(origin), { code: "ECONNREFUSED" });
        await openShared(t, port);
        await t.notThrowsAsync(deployment.replace(index));
        t.is(await statusOf(origin), 200);
    }
});
