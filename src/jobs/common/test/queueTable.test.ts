import test from "ava";
import { Configuration, Queue, QueueTable } from "../queueTable";

function createQueue(prefix: string, service = "svc"): Queue {
    const settings = { priority: 0, maxAttempts: 1, stretch: 2, slackMs: 0, timeoutMs: 3_000 };
    return { name: `host${prefix}`, host: "host", prefix, service, ...settings };
}

function createConfiguration(version: number, queues: Queue[]): Configuration {
    return { version, queues, services: [], maxBodyBytes: 1_000 };
}

test("an older configuration never replaces a newer one", t => {
    const table = QueueTable.create();
    t.true(table.apply(createConfiguration(5, [createQueue("/a/")])));
    t.false(table.apply(createConfiguration(4, [createQueue("/b/")])));
    t.false(table.apply(createConfiguration(5, [createQueue("/b/")])));
    t.is(table.version, 5);
    t.is(table.resolve("host", "/b/1"), undefined);
});

test("a path resolves to the queue with the longest prefix on its host", t => {
    const table = QueueTable.create();
    table.apply(createConfiguration(1, [createQueue("/a/"), createQueue("/a/b/")]));
    t.is(table.resolve("host", "/a/b/1")?.queue.prefix, "/a/b/");
    t.is(table.resolve("host", "/a/c")?.pathSuffix, "c");
    t.is(table.resolve("other", "/a/1"), undefined);
});

test("jobs use the newest settings of their queue, or the stored ones when it was removed", t => {
    const table = QueueTable.create();
    const accepted = createQueue("/a/", "old");
    table.apply(createConfiguration(1, [accepted]));
    table.apply(createConfiguration(2, [createQueue("/a/", "new")]));
    t.is(table.latestSettings(accepted).service, "new");
    table.apply(createConfiguration(3, []));
    t.is(table.latestSettings(accepted).service, "old");
});
