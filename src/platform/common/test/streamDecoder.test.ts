import test from "ava";
import * as fc from "fast-check";
import { StreamDecoder } from "../streamDecoder";

const SEED = 27;

const ENTRY = {
    service: "svc",
    addr: "10.0.0.7:8080",
    zone: "z1",
    version: "1.4",
    slots: 4,
    state: "ready",
    warmupLeftMs: 0,
    seq: 3,
    capacity: { cpu: 16_000, memMb: 64_000 },
    labels: ["big", "r1"],
    born: 1_700_000_000_000,
};

const decoder = StreamDecoder.create();

function decodeText(value: string, key = "w-1") {
    return decoder.decodeWorker({ key, value, offset: 1 });
}

function decode(fields: object, key?: string) {
    return decodeText(JSON.stringify({ ...ENTRY, ...fields }), key);
}

/** @param json Value of the field, as it is written in the entry. */
function decodeWith(field: string, json: string) {
    return decodeText(JSON.stringify({ ...ENTRY, [field]: "FIELD" }).replace('"FIELD"', json));
}

test("an entry of a worker is decoded", t => {
    t.deepEqual(decode({}), {
        id: "w-1",
        incarnation: 1_700_000_000_000,
        service: "svc",
        address: "10.0.0.7:8080",
        failureDomain: "z1",
        state: "ready",
        warmupLeftMs: 0,
        drainLeftMs: undefined,
        capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
        labels: ["big", "r1"],
        rack: "r1",
    });
});

for (const addr of [
    "10.0.0.7:1",
    "10.0.0.7:65535",
    "i-1.zone.example:80",
    "localhost:9",
    "[::1]:80",
    "[fd00::7]:8080",
]) {
    test(`a worker at ${addr} is used`, t => {
        t.is(decode({ addr })?.address, addr);
    });
}

const ODD_ADDRESSES = [
    "",
    "10.0.0.7",
    "10.0.0.7:",
    ":8080",
    "10.0.0.7:0",
    "10.0.0.7:65536",
    "10.0.0.7:99999",
    "10.0.0.7:-1",
    "10.0.0.7:+80",
    "10.0.0.7:8e1",
    "10.0.0.7:http",
    "10.0.0.7:80:80",
    "10.0.0.7:80/path",
    "10.0.0.7:80?query",
    "10.0.0.7:80#fragment",
    "user@10.0.0.7:80",
    "user:secret@10.0.0.7:80",
    "http://10.0.0.7:80",
    "10.0.0.7 :80",
    " 10.0.0.7:80",
    "10.0.0.7:80 ",
    "10.0.0.7:80\r\n",
    "10.0.0.7\r\nHost: other:80",
    "10.0.0.7\u0000:80",
    "10.0.0.999:80",
    "::1:80",
    "[::1:80",
    "[::1]",
    "[::g]:80",
    "hôte:80",
    "\ud800:80",
    `${"a".repeat(100_000)}:80`,
];

for (const addr of ODD_ADDRESSES) {
    test(`no worker is used at ${JSON.stringify(addr.slice(0, 40))}`, t => {
        t.is(decode({ addr }), undefined);
    });
}

const ODD_NUMBERS: readonly (readonly [string, readonly string[]])[] = [
    ["born", ["1e308", "1e400", "9007199254740993", "1e16", "1700000000000.5", "-1", '"1700000000000"', "null"]],
    ["warmupLeftMs", ["1e308", "1e400", "9007199254740993", "-1", '"0"', "null"]],
    ["drainRemainingMs", ["1e308", "1e400", "9007199254740993", "-1", '"0"', "null"]],
    ["capacity", ["1", '"big"', "[]", "null", '{"cpu":1e308}', '{"cpu":-1}', '{"memMb":1e400}', '{"gpu":1e16}']],
];

for (const [field, values] of ODD_NUMBERS) {
    for (const json of values) {
        test(`an entry with ${field} ${json} names no worker`, t => {
            t.is(decodeWith(field, json), undefined);
        });
    }
}

test("an entry with a fractional capacity is used", t => {
    t.is(decode({ capacity: { cpu: 1_500.5 } })?.capacity.cpuMillis, 1_500.5);
});

test("an entry without a needed field, or with one of another type, names no worker", t => {
    for (const field of ["service", "addr", "zone", "state", "capacity"]) {
        t.is(decode({ [field]: undefined }), undefined, field);
        for (const value of [0, true, ["x"], [], { x: 1 }]) {
            t.is(decode({ [field]: value === 0 || field !== "capacity" ? value : 0 }), undefined, field);
        }
    }
    for (const labels of ["r1", [1], [["r1"]], { 1: "r1" }]) {
        t.is(decode({ labels }), undefined);
    }
    for (const state of ["", "READY", "gone", "constructor"]) {
        t.is(decode({ state }), undefined);
    }
});

test("an entry that is not an object names no worker", t => {
    for (const value of ["", "null", "1", '"x"', "[]", "[1]", "{", "\u0000", "{}", '{"service":', "\ufeff{}"]) {
        t.is(decodeText(value), undefined, value);
    }
    t.is(decoder.decodeWorker({ key: "w-1", offset: 1 }), undefined);
});

test("an entry with bytes that are not UTF-8 names no worker", t => {
    const bytes = Buffer.from(JSON.stringify(ENTRY).replace("svc", "s\u0001c"));
    bytes[bytes.indexOf(1)] = 0xff;
    t.is(decodeText(bytes.toString("utf8")), undefined);
});

test("an entry under an id that no order can name is not used", t => {
    for (const key of ["", " ", "w 1", "w\r\n1", "w\u0000", "é", "w\ufffd", "x".repeat(300)]) {
        t.is(decode({}, key), undefined, JSON.stringify(key));
    }
});

for (const key of ["__proto__", "constructor", "toString", "hasOwnProperty"]) {
    test(`an entry under the id ${key}, or with such a field, changes no other`, t => {
        t.is(decode({}, key)?.id, key);
        decodeText(JSON.stringify(ENTRY).replace("{", `{"${key}":{"state":"draining","cpu":1},`));
        t.is(({} as Record<string, unknown>).state, undefined);
        t.is(decode({})?.state, "ready");
    });
}

test("of a field that is there twice, the last one counts", t => {
    const twice = JSON.stringify(ENTRY).replace("{", '{"state":"gone",');
    t.is(decodeText(twice)?.state, "ready");
});

for (const depth of [1_000, 100_000, 2_000_000]) {
    test(`an entry nested ${depth} levels deep neither throws nor names a worker, unless the rest is valid`, t => {
        for (const [open, close] of [
            ["[", "]"],
            ['{"a":', "}"],
        ]) {
            const deep = `${open.repeat(depth)}0${close.repeat(depth)}`;
            t.is(decodeText(deep), undefined);
            t.is(decodeText(open.repeat(depth)), undefined);
            t.is(decodeWith("capacity", deep)?.capacity.cpuMillis ?? 0, 0);
            t.is(decodeWith("labels", deep), undefined);
            t.is(decodeWith("extra", deep)?.address, ENTRY.addr);
        }
    });
}

/** What another writer may store in a field. */
const oddField = fc.oneof(
    fc.jsonValue(),
    fc.double(),
    fc.constantFrom(1e308, -0, 2 ** 53, -1, "constructor", "__proto__", "\ud800", "ready", "draining"),
);

test("whatever a field holds, decoding neither throws nor returns numbers out of range or an address that is no address", t => {
    const field = fc.constantFrom(...Object.keys(ENTRY), "drainRemainingMs", "__proto__", "toJSON");
    fc.assert(
        fc.property(fc.string(), fc.dictionary(field, oddField, { maxKeys: 3 }), (key, fields) => {
            const entry = decode(fields, key);
            if (entry === undefined) {
                return;
            }
            const { capacity, incarnation, warmupLeftMs, drainLeftMs = 0 } = entry;
            const { cpuMillis, memoryMb, accelerators } = capacity;
            const numbers = [cpuMillis, memoryMb, accelerators, incarnation, warmupLeftMs, drainLeftMs];
            t.true(numbers.every(each => each >= 0 && each <= Number.MAX_SAFE_INTEGER));
            const url = new URL(`http://${entry.address}`);
            t.is(url.pathname + url.username + url.search + url.hash, "/");
        }),
        { seed: SEED, numRuns: 3_000 },
    );
});

test("no text makes a decoder throw", t => {
    fc.assert(
        fc.property(fc.oneof(fc.json(), fc.string(), fc.string({ unit: "binary" })), value => {
            decodeText(value);
            decoder.decodeConfiguration({ key: "config", value, offset: 1 });
        }),
        { seed: SEED, numRuns: 2_000 },
    );
    t.pass();
});

const CONFIGURATION = {
    version: 3,
    routes: [{ host: "h", prefix: "/q/", service: "svc" }],
    services: [{ name: "svc" }],
};

for (const json of ["1e308", "9007199254740993", "1.5", "-1", '"4"', "null"]) {
    test(`a configuration with version ${json} is not applied, since no later one could be newer`, t => {
        const value = JSON.stringify({ ...CONFIGURATION, version: "VERSION" });
        const decodeVersion = (text: string) =>
            decoder.decodeConfiguration({ key: "config", value: value.replace('"VERSION"', text), offset: 1 });
        t.is(decodeVersion("3")?.version, 3);
        t.is(decodeVersion(json), undefined);
    });
}

test("an entry that differs by its count of heartbeats only is not decoded again, one that differs otherwise is", t => {
    const first = decode({ seq: 10 }, "w-9");
    t.is(decode({ seq: 11 }, "w-9"), first);
    t.is(decode({ seq: 1_000_000 }, "w-9"), first);
    t.is(decode({ seq: 12, state: "draining" }, "w-9")?.state, "draining");
    t.is(decode({ seq: 13 }, "w-9")?.state, "ready");
    t.is(decode({ seq: 13 }, "w-8")?.id, "w-8");
});

test("an odd entry between two of a worker names no worker, and the next one is used", t => {
    const text = JSON.stringify({ ...ENTRY, seq: 7 });
    t.truthy(decodeText(text, "w-7"));
    t.is(decodeText(text.replace('"seq":7', '"seq":07'), "w-7"), undefined);
    t.is(decodeText(`${text}x`, "w-7"), undefined);
    t.truthy(decodeText(text, "w-7"));
});

test("the record of an evacuation names the zone in its key", t => {
    const zones = ["evacuate/caerdydd", "evacuate/z/1", "evacuate/\u00ee"].map(key => decoder.decodeEvacuation(key));
    t.deepEqual(zones, ["caerdydd", "z/1", "\u00ee"]);
    t.false(decoder.isConfiguration({ key: "evacuate/config", value: "{}", offset: 1 }));
});

test("a key that names no zone, or cannot be read, evacuates nothing", t => {
    for (const zone of ["", " ", "a b", "a\n", "\u0000", "\ufffd", "x".repeat(256)]) {
        t.true(decoder.isEvacuation(`evacuate/${zone}`));
        t.is(decoder.decodeEvacuation(`evacuate/${zone}`), undefined);
    }
    for (const key of ["config", "wave/1", "evacuate", "evacuated/a", "x/evacuate/a", ""]) {
        t.false(decoder.isEvacuation(key));
        t.is(decoder.decodeEvacuation(key), undefined);
    }
});
