import test from "ava";
import { Err } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { KeyedLog } from "../../../standin/common/keyedLog";
import { StoredRecord } from "../record";
import { LoadReceiver, RecordLoader } from "../recordLoader";
import { RecordEffect } from "../recordEvents";

/** More records than fit on two pages of the stand-in. */
const RECORD_COUNT = 50;

class Collector extends LoadReceiver {
    readonly keys: string[] = [];
    loads = 0;

    override apply(record: StoredRecord): void {
        this.keys.push(record.key);
    }

    override onLoaded(): void {
        this.loads += 1;
    }
}

function createLoad() {
    const log = KeyedLog.create();
    for (let index = 0; index < RECORD_COUNT; index++) {
        log.store(`p/${String(index).padStart(3, "0")}`, "x");
    }
    const outbox = Outbox.create<RecordEffect>();
    const collector = new Collector();
    const loader = RecordLoader.start("progress", 100, collector, outbox);
    let number = 0;
    const drainReads = () => {
        const reads = outbox.drain().flatMap(effect => (effect.kind === "read-newest" ? [effect] : []));
        number = reads.at(-1)?.number ?? number;
        return reads;
    };
    const answer = (after: string | undefined, sentAt: number) =>
        loader.handleAnswer({ kind: "newest-answer", stream: "progress", number, sentAt, result: log.newest(after) });
    return { loader, collector, drainReads, answer };
}

test("all pages are read one after the other", t => {
    const { collector, drainReads, answer } = createLoad();
    let pages = 0;
    for (let reads = drainReads(); reads.length > 0; reads = drainReads()) {
        pages += 1;
        answer(reads[0].after, 200);
    }
    t.true(pages > 1);
    t.is(new Set(collector.keys).size, RECORD_COUNT);
    t.is(collector.loads, 1);
});

test("a failed page is read again from the same key after a delay", t => {
    const { loader, collector, drainReads, answer } = createLoad();
    answer(drainReads()[0].after, 200);
    const [second] = drainReads();
    const { number } = second;
    loader.handleAnswer({ kind: "newest-answer", stream: "progress", number, sentAt: 210, result: Err("unavailable") });
    const [again] = drainReads();
    t.is(again.after, second.after);
    t.true(again.delayMs > 0);
    t.is(collector.loads, 0);
});

test("answers to reads sent before the load started are ignored", t => {
    const { collector, drainReads, answer } = createLoad();
    drainReads();
    answer(undefined, 99);
    t.deepEqual(collector.keys, []);
    t.deepEqual(drainReads(), []);
});
