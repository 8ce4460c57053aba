import test from "ava";
import { Ok } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { RecordEffect } from "../../../records/common/recordEvents";
import { RecordFollower, RecordReceiver } from "../../../records/common/recordFollower";
import { StreamName } from "../../../records/common/recordStore";
import { LoadSequence, loadOrderOf } from "../loadSequence";

class IgnoringReceiver extends RecordReceiver {
    override apply(): void {}

    override retainKeys(): void {}
}

// Load: all instances of a site restart at once and load over one link, on which a new leader calls workers.
test("an instance that starts loads one stream at a time", t => {
    const outbox = Outbox.create<RecordEffect>();
    const streams: readonly StreamName[] = ["jobs", "operator", "workers"];
    const followers = streams.map(stream =>
        RecordFollower.create(stream, new IgnoringReceiver(), () => ({ waitMs: 0, pauseMs: 0 }), outbox),
    );
    const sequence = LoadSequence.create(followers, "in-turn");
    const loading = () => outbox.drain().flatMap(each => (each.kind === "read-newest" ? [each] : []));
    sequence.advance();
    for (const [position, follower] of followers.entries()) {
        const reads = loading();
        t.deepEqual(
            reads.map(each => each.stream),
            [streams[position]],
        );
        sequence.advance();
        t.is(loading().length, 0, "not before it has been loaded");
        const result = Ok({ records: [], end: 0, hasMore: false });
        const { stream, number } = reads[0];
        follower.handleAnswer({ kind: "newest-answer", stream, number, sentAt: 0, result }, 0);
        outbox.drain();
        sequence.advance();
    }
});

test("streams are loaded in turn where many failure domains share the link of a region", t => {
    const regions = { a: "north", b: "north", c: "north", d: "south", e: "south" };
    t.is(loadOrderOf(regions, "north"), "in-turn");
    t.is(loadOrderOf(regions, "south"), "together");
    t.is(loadOrderOf({}, "north"), "together");
});
