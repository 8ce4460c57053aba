import test from "ava";
import { packRecords, PAGE_HEADER_BYTES, unpackRecords } from "../recordFrames";

function page(body: Buffer): Buffer {
    return Buffer.concat([Buffer.alloc(PAGE_HEADER_BYTES), body]);
}

test("records are decoded with their offsets, also a record without a value, which deletes its key", t => {
    const body = page(packRecords([{ key: "j/é", value: "v" }, { key: "gone" }]));
    t.deepEqual(unpackRecords(body, 7), [
        { key: "j/é", value: "v", offset: 7 },
        { key: "gone", value: undefined, offset: 8 },
    ]);
});

test("a truncated record is omitted", t => {
    const body = page(
        packRecords([
            { key: "a", value: "1" },
            { key: "b", value: "2" },
        ]),
    );
    t.is(unpackRecords(body.subarray(0, body.length - 1), 0).length, 1);
});

test("a record that is shorter than its key deletes no key of which it has the beginning", t => {
    const frame = Buffer.from([0, 0, 0, 4, 255, ...Buffer.from("w-1")]);
    const body = page(Buffer.concat([frame, packRecords([{ key: "w-2", value: "1" }])]));
    t.deepEqual(unpackRecords(body, 4), [
        { key: "", value: undefined, offset: 4 },
        { key: "w-2", value: "1", offset: 5 },
    ]);
    t.deepEqual(unpackRecords(page(Buffer.from([0, 0, 0, 0])), 0), [{ key: "", value: undefined, offset: 0 }]);
    t.deepEqual(unpackRecords(page(Buffer.from([255, 255, 255, 255, 1])), 0), []);
});
