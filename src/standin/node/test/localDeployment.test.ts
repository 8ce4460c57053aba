import { createServer } from "node:net";
import test from "ava";
import { LocalDeployment } from "../localDeployment";

test("the ports of a deployment stay free when another process opens the same ports on 127.0.0.1", async t => {
    const deployment = await LocalDeployment.start({
        service: "archebu",
        region: "de-cymru",
        failureDomains: ["caerdydd"],
        workers: 1,
        instances: 2,
        shards: 1,
        seed: 1,
        workload: { families: {}, interference: {} },
    });
    t.teardown(() => deployment.dispose());
    for (const index of [0, 1]) {
        const { hostname, port } = new URL(deployment.origin(index));
        t.not(hostname, "127.0.0.1");
        const other = createServer();
        t.teardown(() => other.close());
        await t.notThrowsAsync(
            new Promise<void>((resolve, reject) => {
                other.once("error", reject);
                other.listen(Number(port), "127.0.0.1", resolve);
            }),
        );
    }
});
