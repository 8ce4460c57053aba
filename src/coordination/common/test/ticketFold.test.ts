import test from "ava";
import fc from "fast-check";
import { TicketFiled } from "../ticketEntry";
import { TicketFold } from "../ticketFold";

function file(number: number, basedOn: number, values: Record<string, string>): TicketFiled {
    const objects = Object.entries(values).map(([key, value]) => ({ key, value }));
    return { kind: "ticket-filed", number, basedOn, author: "a", reason: "r", filedAt: 0, objects };
}

function fold(...tickets: TicketFiled[]): TicketFold {
    const result = TicketFold.create();
    tickets.forEach((entry, offset) =>
        result.applyBatch({ offset, batch: { writer: `w${offset}`, sequence: 1, entries: [entry] } }),
    );
    return result;
}

test("the first of two tickets with the same number is accepted, and the verdict on the other names it", t => {
    const { verdicts, inForce } = fold(file(1, 0, { a: "1" }), file(1, 0, { a: "2" }));
    t.is(verdicts[1].state, "lost");
    t.is(verdicts[1].loss, "number-taken");
    t.is(verdicts[1].winner, 1);
    t.is(inForce.get("a")?.value, "1");
});

test("a ticket filed twice is accepted once", t => {
    const { verdicts } = fold(file(1, 0, { a: "1" }), file(1, 0, { a: "1" }));
    t.deepEqual(
        verdicts.map(each => each.state),
        ["in-force", "repeated"],
    );
});

test("a ticket based on an older number is rejected only if its objects have changed since", t => {
    const { verdicts, inForce } = fold(
        file(1, 0, { a: "1", b: "1" }),
        file(2, 1, { a: "2" }),
        file(3, 1, { a: "3" }),
        file(4, 1, { b: "4" }),
    );
    t.deepEqual(
        verdicts.map(each => each.state),
        ["superseded", "in-force", "lost", "in-force"],
    );
    t.is(verdicts[2].loss, "built-on-older");
    t.is(verdicts[2].winner, 2);
    t.is(inForce.get("b")?.value, "4");
});

test("a ticket based on a state before an object's removal cannot restore the object", t => {
    const { verdicts, inForce } = fold(file(1, 0, { a: "1" }), file(2, 1, { a: "" }), file(3, 1, { a: "3" }));
    t.is(verdicts[2].state, "lost");
    t.is(inForce.get("a")?.value, "");
});

test("the latest number never decreases, and restoring an image gives the same state", t => {
    const anyTicket = fc.record({
        number: fc.integer({ min: 1, max: 9 }),
        basedOn: fc.integer({ min: 0, max: 9 }),
        key: fc.constantFrom("a", "b", "c"),
        value: fc.constantFrom("1", "2", ""),
    });
    fc.assert(
        fc.property(fc.array(anyTicket, { maxLength: 20 }), tickets => {
            const original = TicketFold.create();
            let latest = 0;
            tickets.forEach(({ number, basedOn, key, value }, offset) => {
                const entries = [file(number, basedOn, { [key]: value })];
                original.applyBatch({ offset, batch: { writer: "w", sequence: offset + 1, entries } });
                t.true(original.latestNumber >= latest);
                latest = original.latestNumber;
            });
            const restored = TicketFold.create();
            restored.restore(JSON.parse(JSON.stringify(original.image())) as ReturnType<typeof original.image>);
            t.deepEqual([...restored.inForce], [...original.inForce]);
            t.deepEqual(JSON.stringify(restored.image()), JSON.stringify(original.image()));
        }),
        { seed: 7, numRuns: 200 },
    );
});
