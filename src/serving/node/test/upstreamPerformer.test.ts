import test from "ava";
import { RouteEvent } from "../../../routing/common/routeEvents";
import { RequestStore, UpstreamPerformer } from "../upstreamPerformer";

class EmptyStore extends RequestStore {
    override find() {
        return { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) };
    }
    override relay(): Promise<void> {
        return Promise.resolve();
    }
}

for (const address of ["10.0.0.1:99999", "10.0.0.1:-1", "", "a b:1", "[::g]:1"]) {
    test(`an upstream at ${JSON.stringify(address)} fails and does not end the process`, async t => {
        const events: RouteEvent[] = [];
        const performer = UpstreamPerformer.create(new EmptyStore(), event => events.push(event));
        await t.notThrowsAsync(performer.probe("w1", address));
        const deadline = performance.now() + 1_000;
        const send = { kind: "upstream-send" as const, request: 1, attempt: 1, worker: "w1", address, deadline };
        await t.notThrowsAsync(performer.send(send));
        t.deepEqual(
            events.map(each => each.kind),
            ["probe-failed", "upstream-failed"],
        );
        performer.dispose();
    });
}
