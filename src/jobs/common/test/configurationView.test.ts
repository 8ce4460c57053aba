import test from "ava";
import { ConfigurationView, ConfigurationViewChange } from "../configurationView";
import { QueueTable } from "../queueTable";

/** Time within which a configuration must be in force, in ms. */
const CONFIGURATION_MS = 2_500;

test("a view that gets too old, and one that is recent again, are reported once", t => {
    const queues = QueueTable.create();
    const stream: { knownUntil: number | undefined; isFailing: boolean } = { knownUntil: undefined, isFailing: false };
    const view = ConfigurationView.create(stream, queues, CONFIGURATION_MS);
    const changes: ConfigurationViewChange[] = [];
    view.onDidChange(change => changes.push(change));
    view.review(0);
    queues.apply({ version: 7, queues: [], services: [], maxBodyBytes: 1_000 });
    stream.knownUntil = 0;
    [0, CONFIGURATION_MS, CONFIGURATION_MS + 25, CONFIGURATION_MS + 50].forEach(now => view.review(now));
    stream.knownUntil = CONFIGURATION_MS + 50;
    [CONFIGURATION_MS + 75, CONFIGURATION_MS + 100].forEach(now => view.review(now));
    t.deepEqual(changes, [
        { state: "old", version: 7, ageMs: CONFIGURATION_MS + 25, isFailing: false },
        { state: "recent", version: 7, ageMs: 25, isFailing: false },
    ]);
});
