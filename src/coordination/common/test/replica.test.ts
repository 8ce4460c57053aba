import test from "ava";
import { PlacedBatch } from "../../../services/common/logEvents";
import { Replica } from "../replica";
import { TicketEntry } from "../ticketEntry";
import { TicketFold } from "../ticketFold";

function ticket(number: number): TicketEntry {
    const objects = [{ key: `service/s${number % 3}`, value: `{"n":${number}}` }];
    return { kind: "ticket-filed", number, basedOn: number - 1, author: "a", reason: "r", filedAt: 0, objects };
}

function batch(offset: number, ...entries: TicketEntry[]): PlacedBatch<TicketEntry> {
    return { offset, batch: { writer: "w", sequence: offset + 1, entries } };
}

function read(replica: Replica<TicketEntry>, batches: PlacedBatch<TicketEntry>[], head: number): void {
    const next = batches.length === 0 ? replica.next : batches[batches.length - 1].offset + 1;
    replica.handlePage(replica.next, { batches, next, head });
}

function create() {
    const fold = TicketFold.create();
    return { fold, replica: Replica.create(fold, 0, () => undefined) };
}

test("a replica reads a stream from its beginning", t => {
    const { fold, replica } = create();
    read(replica, [batch(0, ticket(1)), batch(1, ticket(2))], 3);
    t.is(replica.state, "catching-up");
    read(replica, [batch(2, ticket(3))], 3);
    t.is(replica.state, "current");
    t.is(fold.latestNumber, 3);
});

test("a reader whose records were removed starts from a snapshot and applies the records after it", t => {
    const { replica: other } = create();
    read(other, [batch(0, ticket(1)), batch(1, ticket(2)), batch(2, ticket(3))], 3);
    const image = other.image()!;

    const { fold, replica } = create();
    replica.handleTruncation(2);
    t.is(replica.state, "bootstrapping");
    read(replica, [batch(2, ticket(3)), batch(3, ticket(4))], 6);
    t.is(replica.state, "bootstrapping");
    read(replica, [batch(4, { kind: "snapshot-taken", ...image }), batch(5, ticket(5))], 6);
    t.is(replica.state, "current");
    t.is(fold.latestNumber, 5);

    const { fold: expected, replica: full } = create();
    const all = [1, 2, 3, 4].map(number => batch(number - 1, ticket(number)));
    read(full, [...all, batch(4, { kind: "snapshot-taken", ...image }), batch(5, ticket(5))], 6);
    t.is(JSON.stringify(fold.image()), JSON.stringify(expected.image()));
});

test("a snapshot is not used when records after it have been removed", t => {
    const { replica: other } = create();
    read(other, [batch(0, ticket(1))], 1);
    const { replica } = create();
    replica.handleTruncation(5);
    read(replica, [batch(5, { kind: "snapshot-taken", ...other.image()! })], 6);
    t.is(replica.state, "bootstrapping");
});

test("the state of another reader is installed only when it is ahead and of a compatible format", t => {
    const { replica: other } = create();
    read(other, [batch(0, ticket(1)), batch(1, ticket(2))], 2);
    const image = other.image()!;
    const { fold, replica } = create();
    replica.installIfAhead({ ...image, format: "2.0.0" });
    t.is(replica.state, "bootstrapping");
    replica.installIfAhead(image);
    t.is(fold.latestNumber, 2);
    t.is(replica.next, 2);
    replica.installIfAhead({ ...image, next: 1 });
    t.is(replica.next, 2);
});

test("a repeated batch is applied once", t => {
    const { fold, replica } = create();
    const first = batch(0, ticket(1));
    read(replica, [first, { offset: 1, batch: first.batch }], 2);
    t.is(fold.verdicts.length, 1);
});
