import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { HttpClient } from "../../../services/node/httpClient";
import { waitUntil } from "../../common/wait";
import { LocalDeployment } from "../localDeployment";
import { CERTIFICATE, CERTIFICATE_HOST, CERTIFICATE_KEY } from "./certificate";

const TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 3_000;

test("instances and clients use TLS", async t => {
    const folder = await mkdtemp(join(tmpdir(), "wigeonstall-"));
    const [certificate, key] = [join(folder, "certificate.pem"), join(folder, "key.pem")];
    await writeFile(certificate, CERTIFICATE);
    await writeFile(key, CERTIFICATE_KEY);
    const deployment = await LocalDeployment.start({
        service: "quotes",
        region: "north",
        failureDomains: ["one"],
        workers: 2,
        instances: 2,
        shards: 1,
        seed: 1,
        workload: { families: {}, interference: {} },
        host: CERTIFICATE_HOST,
        tls: { certificate, key, authority: certificate },
    });
    const client = HttpClient.create({ ca: CERTIFICATE });
    t.teardown(async () => {
        client.dispose();
        deployment.dispose();
        await rm(folder, { recursive: true });
    });
    const get = (index: number, path: string) =>
        client.call({ origin: deployment.origin(index), method: "GET", path, timeoutMs: CALL_TIMEOUT_MS });
    // Only one instance owns the shard, so the other one becomes ready only after it is granted slots over TLS.
    for (const index of [0, 1]) {
        await waitUntil(async () => (await get(index, "/readyz")).status === 200, TIMEOUT_MS, `instance ${index}`);
        t.is((await get(index, "/services/quotes/x")).status, 200);
    }
    const plainOrigin = deployment.origin(0).replace("https", "http");
    await t.throwsAsync(
        client.call({ origin: plainOrigin, method: "GET", path: "/healthz", timeoutMs: CALL_TIMEOUT_MS }),
    );
});
