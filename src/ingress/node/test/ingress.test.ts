import test from "ava";
import { once } from "node:events";
import { AddressInfo, connect } from "node:net";
import { deriveIngressLimits } from "../../common/ingressLimits";
import { BoundedBody } from "../boundedBody";
import { Ingress } from "../ingress";

/** Sizes of bodies around the part of a connection that is handed over at once, in bytes. */
const BODY_BYTES = [10, 4_000, 8_192, 60_000];

for (const bytes of BODY_BYTES) {
    test(`a connection is without a request after the answer to a body of ${bytes} bytes that came with its header`, async t => {
        const ingress = Ingress.create(deriveIngressLimits(), () => undefined);
        const server = ingress.createServer(
            { name: "test", maxConnections: 4, maxRequests: 4 },
            (request, response) => {
                BoundedBody.read(request, 100_000, result => response.end(result.kind));
            },
        );
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        const header = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`;
        client.write(header + "x".repeat(bytes));
        const [answer] = (await once(client, "data")) as [Buffer];
        t.true(answer.toString().startsWith("HTTP/1.1 200"));
        // Only connections without a request are closed.
        const closed = once(client, "close");
        ingress.drain();
        await closed;
        ingress.dispose();
        server.close();
    });
}
