import FakeTimers from "@sinonjs/fake-timers";
import test, { ExecutionContext } from "ava";
import { DecisionLog } from "../decisionLog";
import { LineOutput } from "../lineOutput";

/** Writes of at most this size, in bytes, reach a pipe as a whole (PIPE_BUF on Linux). */
const ATOMIC_BYTES = 4_096;

/** Limit of the lines that wait for a slow reader, and one line, in bytes. */
const MAX_PENDING_BYTES = 256 * 1_024 + 1_024;

type OnDone = (error: Error | undefined, writtenBytes: number) => void;

/** Output whose reader accepts the pending write when the test says so. */
class ManualOutput extends LineOutput {
    readonly writes: Buffer[] = [];
    private onDone: OnDone | undefined;

    static create(): ManualOutput {
        return new ManualOutput();
    }

    get isWriting(): boolean {
        return this.onDone !== undefined;
    }

    get text(): string {
        return Buffer.concat(this.writes).toString();
    }

    override write(text: Buffer, onDone: OnDone): void {
        this.writes.push(text);
        this.onDone = onDone;
    }

    finish(error?: Error, writtenBytes?: number): void {
        const { onDone } = this;
        const last = this.writes.pop();
        if (onDone === undefined || last === undefined) {
            throw new Error("no write is pending");
        }
        const accepted = error === undefined ? last.subarray(0, writtenBytes) : Buffer.alloc(0);
        this.writes.push(accepted);
        this.onDone = undefined;
        onDone(error, accepted.length);
    }

    finishAll(): void {
        while (this.isWriting) {
            this.finish();
        }
    }
}

function createLog(t: ExecutionContext): { log: DecisionLog; output: ManualOutput } {
    const output = ManualOutput.create();
    const log = DecisionLog.create("a", output);
    t.teardown(() => log.dispose());
    return { log, output };
}

/** @returns The numbers of the lines, each of which must be complete. */
function numbersIn(text: string): number[] {
    const lines = text.split("\n").slice(0, -1);
    return lines.map(line => (JSON.parse(line) as { number: number }).number);
}

function upTo(count: number): number[] {
    return Array.from({ length: count }, (_, number) => number);
}

test("lines are not cut by a reader that accepts writes of limited size", t => {
    const { log, output } = createLog(t);
    upTo(300).forEach(number => log.log("run-started", { number, task: "é".repeat(40) }));
    log.flush();
    output.finishAll();
    t.deepEqual(numbersIn(output.text), upTo(300));
    t.true(Math.max(...output.writes.map(write => write.length)) <= ATOMIC_BYTES);
    t.true(output.writes.every(write => write.toString().endsWith("}\n")));
});

test("a line that exceeds the size of a write is written in parts", t => {
    const { log, output } = createLog(t);
    log.log("first", { number: 0 });
    log.log("unexpected-error", { number: 1, error: "x".repeat(10_000) });
    log.log("last", { number: 2 });
    log.flush();
    output.finishAll();
    t.deepEqual(numbersIn(output.text), upTo(3));
    t.true(Math.max(...output.writes.map(write => write.length)) <= ATOMIC_BYTES);
});

test("the rest of a partial write follows before later lines", t => {
    const { log, output } = createLog(t);
    upTo(100).forEach(number => log.log("run-started", { number }));
    log.flush();
    output.finish(undefined, 1_000);
    output.finishAll();
    t.deepEqual(numbersIn(output.text), upTo(100));
});

test("one write is pending at a time, and lines for a slow reader are bounded and counted", t => {
    const { log, output } = createLog(t);
    let omittedCount = 0;
    log.onDidOmit(count => (omittedCount += count));
    upTo(10).forEach(number => log.log("run-started", { number }));
    log.flush();
    const writes = output.writes.length;
    upTo(10_000).forEach(number => log.log("run-started", { number }));
    log.flush();
    t.is(output.writes.length, writes);
    output.finishAll();
    log.flush();
    output.finishAll();
    t.true(omittedCount > 0);
    t.is(output.text.split("\n").length - 1, 10 + 10_000 - omittedCount + 1);
    t.true(output.text.includes(`"event":"lines-omitted","count":${omittedCount}`));
    t.true(output.text.length <= MAX_PENDING_BYTES + 2_048);
});

test("lines after a failed write are written", t => {
    const { log, output } = createLog(t);
    log.log("run-started", { number: 0 });
    log.flush();
    output.finish(new Error("EPIPE"));
    log.log("run-started", { number: 1 });
    log.flush();
    output.finishAll();
    t.deepEqual(numbersIn(output.text), [1]);
});

test("lines that were logged during a write are written before a stop", async t => {
    const { log, output } = createLog(t);
    log.log("run-started", { number: 0 });
    log.flush();
    upTo(100).forEach(number => log.log("stopped", { number: number + 1 }));
    const drained = log.drain();
    output.finishAll();
    await drained;
    t.deepEqual(numbersIn(output.text), upTo(101));
});

test.serial("a stop does not wait for long for a reader that accepts nothing", async t => {
    const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
    t.teardown(() => clock.uninstall());
    const { log } = createLog(t);
    log.log("stopped", {});
    const drained = log.drain();
    clock.tick(250);
    await t.notThrowsAsync(drained);
});

test.serial("the delay is the time for which the oldest line has waited", t => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const { log, output } = createLog(t);
    t.is(log.delayMs, 0);
    log.log("first", {});
    clock.tick(250);
    t.is(log.delayMs, 250);
    log.log("second", {});
    clock.tick(1_000);
    t.is(log.delayMs, 1_250);
    output.finish();
    t.is(log.delayMs, 1_000);
    clock.tick(250);
    output.finish();
    t.is(log.delayMs, 0);
});
