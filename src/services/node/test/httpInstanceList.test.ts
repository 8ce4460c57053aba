import test from "ava";
import * as fc from "fast-check";
import { decodeListing } from "../../common/listingDecoder";
import { HttpCall, HttpClient } from "../httpClient";
import { HttpInstanceList } from "../httpInstanceList";

const SEED = 27;

const WORKER = {
    id: "w1",
    address: "10.0.0.1:8080",
    region: "north",
    failureDomain: "one",
    rack: "r1",
    availability: "live",
    capacity: { slots: 4, connections: 16, cpus: 4, memoryGb: 16, accelerators: 0 },
    services: ["quotes"],
};
const ENTRY = { address: "10.0.0.9:80", region: "north", availability: "live" };
const DEEP = '{"a":'.repeat(100_000) + "0" + "}".repeat(100_000);

/** Entries of another writer. */
const ODD_WORKERS: readonly unknown[] = [
    undefined,
    7,
    "w",
    [],
    {},
    "DEEP",
    { ...WORKER, id: 1 },
    { ...WORKER, address: "10.0.0.1:99999" },
    { ...WORKER, address: "10.0.0.1:0" },
    { ...WORKER, address: "10.0.0.1" },
    { ...WORKER, address: "10.0.0.1:80/path" },
    { ...WORKER, services: "quotes" },
    { ...WORKER, services: undefined },
    { ...WORKER, availability: "gone" },
    { ...WORKER, capacity: { ...WORKER.capacity, slots: 1e308 } },
    { ...WORKER, capacity: undefined },
];

test("of a listing with odd entries, the others hold", t => {
    const odd = { workers: [...ODD_WORKERS, WORKER], entries: [{ ...ENTRY, address: "x" }, undefined, ENTRY] };
    const decoded = decodeListing(JSON.stringify(odd).replace('"DEEP"', DEEP));
    t.deepEqual(decoded?.listing, { workers: [WORKER as never], entries: [ENTRY as never] });
    t.is(decoded?.malformedCount, ODD_WORKERS.length + 2);
});

test("no text makes the decoder of listings throw", t => {
    const listing = fc.record({ workers: fc.array(fc.jsonValue()), entries: fc.array(fc.jsonValue()) });
    fc.assert(
        fc.property(
            fc.oneof(
                fc.json(),
                fc.string(),
                listing.map(value => JSON.stringify(value)),
            ),
            text => {
                decodeListing(text);
            },
        ),
        { seed: SEED, numRuns: 1_000 },
    );
    t.pass();
});

test("after a listing that cannot be decoded the next one is read, although it has the same tag", async t => {
    const bodies = ["{", '{"workers":7}', JSON.stringify({ workers: [WORKER, 7], entries: [] })];
    const malformed: number[] = [];
    const client = {
        call: ({ headers }: HttpCall) =>
            Promise.resolve(
                headers?.["if-none-match"] === '"1"'
                    ? { status: 304, headers: {}, body: Buffer.alloc(0) }
                    : { status: 200, headers: { etag: '"1"' }, body: Buffer.from(bodies.shift()!) },
            ),
    } as unknown as HttpClient;
    const list = HttpInstanceList.create("http://platform", client, count => malformed.push(count));
    t.false((await list.read()).ok);
    t.false((await list.read()).ok);
    const third = await list.read();
    t.deepEqual(third.unwrap()?.workers, [WORKER as never]);
    t.deepEqual(malformed, [1]);
    t.is((await list.read()).unwrap(), undefined);
});
