// Uses leases and shard ownership with an in-memory log: two members share four shards, one of them stops responding,
// and the other takes over its shards. Run it with `npm run build && node examples/embedding/ownership.mjs`.
import { LogSession, Outbox, OwnershipFold, OwnershipManager } from "wigeonstall/coordination";

const SHARDS = ["a", "b", "c", "d"].map(name => ({ name, region: "here" }));
const STEP_MS = 200;
const log = [];

class Member {
    constructor(name) {
        this.name = name;
        this.outbox = Outbox.create();
        this.fold = OwnershipFold.create();
        this.session = LogSession.create("ownership", name, this.fold, 0, this.outbox);
        const identity = { instance: name, address: name, region: "here", failureDomain: "one" };
        const source = { ticketNumber: () => 0, snapshotNext: () => 0, isIdle: () => true };
        this.ownership = OwnershipManager.create(identity, SHARDS, this.fold, this.session, source);
        this.ownership.onDidChange(({ shard, from, now }) => this.onChange(shard, from, now));
        this.session.open(0);
    }

    /** A real member would fence its streams here before it uses a shard that it owns. */
    onChange(shard, from, now) {
        console.log(`${String(now / 1000).padStart(5)} s  ${this.name}: shard ${shard.name} ${from} -> ${shard.state}`);
        if (shard.state === "fencing") {
            shard.fire("fence-read", now);
            shard.fire("adopted", now);
        }
    }

    tick(now) {
        this.session.tick(now);
        this.ownership.tick(now);
        this.session.flush(now);
        this.outbox.drain().forEach(effect => this.perform(effect, now));
    }

    /** Performs all I/O on the in-memory log. */
    perform(effect, now) {
        const { stream } = effect;
        if (effect.kind === "log-append") {
            const offset = log.push(effect.batch) - 1;
            const { writer, sequence } = effect.batch;
            this.session.handle({ kind: "log-appended", stream, writer, sequence, offset }, now);
            return;
        }
        const batches = log.slice(effect.from).map((batch, index) => ({ offset: effect.from + index, batch }));
        const { read, from } = effect;
        this.session.handle({ kind: "log-read", stream, read, from, batches, next: log.length, head: log.length }, now);
    }
}

const members = [new Member("north"), new Member("south")];
// Time after which the member `south` no longer responds.
const SOUTH_STOPS_MS = 10_000;
const END_MS = 40_000;
for (let now = 0; now <= END_MS; now += STEP_MS) {
    members.filter(member => member.name === "north" || now < SOUTH_STOPS_MS).forEach(member => member.tick(now));
}
const owned = [...members[0].ownership.all].filter(shard => shard.state === "owning").map(shard => shard.name);
console.log(`north owns ${owned.join(", ")}`);
process.exitCode = owned.length === SHARDS.length ? 0 : 1;
