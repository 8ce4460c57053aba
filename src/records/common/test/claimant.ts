import { ExecutionContext } from "ava";
import { Ok, Result } from "ts-results";
import { Outbox } from "../../../base/common/outbox";
import { parseHostKey } from "../hostRecord";
import { HostTable } from "../hostTable";
import { Leadership } from "../leadership";
import { parseRenewalKey } from "../renewalRecord";
import { RecordFollower, RecordReceiver } from "../recordFollower";
import { RecordOffset } from "../record";
import { Append, AppendError, NewestPage, ReadError, RecordPage } from "../recordStore";
import { RecordEffect } from "../recordEvents";
import { WitnessClocks } from "../witnessClocks";

/** The stream that holds the claims. */
interface ClaimLog {
    append(append: Append): Result<RecordOffset, AppendError>;
    newest(after: string | undefined): Result<NewestPage, ReadError>;
    read(from: RecordOffset): Result<RecordPage, ReadError>;
}

class LeaderReceiver extends RecordReceiver {
    leadership: Leadership | undefined;
    readonly hosts = HostTable.create();
    readonly clocks = WitnessClocks.create();
    now = 0;
    isFollowed = true;

    override apply(record: Parameters<RecordReceiver["apply"]>[0]): void {
        if (parseRenewalKey(record.key) !== undefined) {
            this.leadership!.applyRenewal(record, this.now);
        } else if (parseHostKey(record.key) === undefined) {
            this.leadership!.apply(record, this.now, this.isFollowed);
        } else {
            this.hosts.apply(record, this.now);
        }
    }

    override retainKeys(): void {}
}

/** Longest lease that workers accept, in ms. */
export const LONGEST_LEASE_MS = 6_000;

/** An instance whose reads and claims are made by the test. @param storeExcessMs How much longer than usual the store takes, in ms. */
export function createInstance(log: ClaimLog, instance: string, nonce: number, cores = 1, storeExcessMs = () => 0) {
    const outbox = Outbox.create<RecordEffect>();
    const receiver = new LeaderReceiver();
    const follower = RecordFollower.create("jobs", receiver, () => ({ waitMs: 0, pauseMs: 0 }), outbox);
    const candidate = { instance, nonce, storeRoundTripMs: () => 1, storeExcessMs, cores };
    const { hosts, clocks } = receiver;
    const knowledge = { hosts, clocks, longestLeaseMs: LONGEST_LEASE_MS };
    const leadership = Leadership.create(candidate, follower, outbox, 0, knowledge);
    receiver.leadership = leadership;
    let number = 0;
    const drain = () => {
        const effects = outbox.drain();
        effects.forEach(effect => (number = effect.kind === "append" ? number : effect.number));
        return effects;
    };
    follower.start();
    drain();
    follower.handleAnswer(
        { kind: "newest-answer", stream: "jobs", number, sentAt: 0, result: log.newest(undefined) },
        0,
    );
    leadership.tick(0);
    drain();
    const read = (now: number) => {
        receiver.now = now;
        const result = log.read(follower.nextOffset);
        follower.handleAnswer({ kind: "read-answer", stream: "jobs", number, sentAt: now, result }, now);
        drain();
    };
    const claim = (now: number) => {
        leadership.tick(now);
        return drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
    };
    const flush = (now: number) => {
        leadership.writer!.flush(now);
        return drain().flatMap(effect => (effect.kind === "append" ? [effect] : []));
    };
    const renew = (now: number) => {
        leadership.tick(now);
        return flush(now);
    };
    /** Answers the read of a page of newest records. */
    const load = (now: number, page: NewestPage) => {
        receiver.now = now;
        receiver.isFollowed = false;
        follower.handleAnswer({ kind: "newest-answer", stream: "jobs", number, sentAt: now, result: Ok(page) }, now);
        receiver.isFollowed = true;
        drain();
    };
    return { leadership, clocks, read, claim, renew, flush, load };
}

/** An instance whose reads and claims are made by the test. */
export type Instance = ReturnType<typeof createInstance>;

/** Makes an instance the leader, which has taken over at 1.1 s and renews its record on time until 2.6 s. */
export function lead(t: ExecutionContext, log: ClaimLog, { leadership, read, claim, renew }: Instance): void {
    read(1_000);
    t.true(log.append(claim(1_000)[0].append).ok);
    read(1_100);
    leadership.endTakeover(1_100);
    for (let now = 1_400; now <= 2_600; now += 300) {
        const [{ writer, append }] = renew(now);
        const result = log.append(append);
        t.true(result.ok);
        leadership.handleAppendAnswer({ kind: "append-answer", writer, sequence: append.sequence, result }, now + 10);
    }
}
