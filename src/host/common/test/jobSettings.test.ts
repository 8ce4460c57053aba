import test from "ava";
import { formatFinding } from "../../../base/common/finding";
import { parseYaml } from "../../../base/common/schemaFindings";
import { jobSettingsSchema } from "../jobSettings";

/** @param bounds Further lines of the section `scheduling`. @returns Errors of a settings file with them, with their positions. */
function checkScheduling(bounds: readonly string[], configurationMs = 2_500): string[] {
    const text = [
        "instance: edge-1",
        "region: north",
        "failureDomain: one",
        "listen: { calls: '10.0.0.1:80', readiness: '10.0.0.1:81' }",
        "processor: { share: 0.5, speed: 1 }",
        "store: 10.0.0.2:80",
        "scheduling:",
        "    longestLeaseMs: 6000",
        "    stopMs: 900",
        "    gangWaitMs: 3000",
        "    harmMs: 4000",
        `    configurationMs: ${configurationMs}`,
        "    retentionS: 120",
        ...bounds.map(line => `    ${line}`),
    ].join("\n");
    return parseYaml(text, "entry.yaml", jobSettingsSchema).findings.map(formatFinding);
}

test("the bounds of cancellations, of workers that leave and of evacuations may be missing or empty", t => {
    t.deepEqual(checkScheduling([]), []);
    t.deepEqual(checkScheduling(["cancelMs:", "drainMs:", "evacuationMs:", "graceS:"]), []);
    t.deepEqual(checkScheduling(["graceS: 6"]), []);
    t.deepEqual(checkScheduling(["cancelMs: 3000", "drainMs: 5000", "evacuationMs: 5000"]), []);
});

test("a bound so short that nothing could be started is an error with its position", t => {
    const lines = checkScheduling(["cancelMs: 600", "drainMs: 0"]);
    t.is(lines.length, 2);
    t.regex(lines[0], /^entry.yaml:14:15: scheduling.cancelMs is 600 \(expected more than 600\)/);
    t.regex(lines[1], /^entry.yaml:15:14: scheduling.drainMs is 0 \(expected more than 600\)/);
    t.regex(checkScheduling(["evacuationMs: 600"])[0], /^entry.yaml:14:19: scheduling.evacuationMs is 600/);
    t.regex(checkScheduling([], 600)[0], /^entry.yaml:12:22: scheduling.configurationMs is 600/);
    t.regex(checkScheduling(["drainMs: soon"])[0], /^entry.yaml:14:14: scheduling.drainMs/);
});

test("the factor of tasks that are not on their rack may be missing or empty, and is at least 1", t => {
    t.deepEqual(checkScheduling(["crossRackFactor:"]), []);
    t.deepEqual(checkScheduling(["crossRackFactor: 1.5"]), []);
    t.regex(checkScheduling(["crossRackFactor: 0.5"])[0], /^entry.yaml:14:22: scheduling.crossRackFactor is 0.5/);
    t.regex(checkScheduling(["crossRackFactor: 1000"])[0], /^entry.yaml:14:22: scheduling.crossRackFactor is 1000/);
});

/** @param processor Lines about the processor. @returns Settings of an instance. */
function settingsWith(processor: readonly string[]): string {
    return [
        "instance: a",
        "region: r",
        "failureDomain: d",
        "listen: { calls: 'h:1', readiness: 'h:2' }",
        "store: 'h:3'",
        "scheduling: { longestLeaseMs: 1, stopMs: 1, gangWaitMs: 1, harmMs: 1, configurationMs: 2500, retentionS: 1 }",
        ...processor,
    ].join("\n");
}

/** @returns The errors of settings with these lines about the processor, with their places. */
function errorsOf(...processor: string[]): string[] {
    return parseYaml(settingsWith(processor), "a.yaml", jobSettingsSchema).findings.map(formatFinding);
}

test("settings without a processor, or with a share that is 0 or more than there is, state the error and its place", t => {
    t.regex(errorsOf()[0], /^a.yaml:1:1: processor is missing/);
    t.regex(errorsOf("processor: { speed: 1 }")[0], /^a.yaml:7:\d+: processor.share is missing/);
    t.regex(errorsOf("processor: { share: 0, speed: 1 }")[0], /^a.yaml:7:21: processor.share is 0/);
    t.regex(errorsOf("processor: { share: 1.5, speed: 1 }")[0], /^a.yaml:7:21: processor.share is 1.5/);
});

test("a share of a processor is valid, also of a slow one and of several cores", t => {
    t.deepEqual(errorsOf("processor: { share: 0.27, speed: 1 }"), []);
    t.deepEqual(errorsOf("processor: { share: 0.6, speed: 0.5 }"), []);
    t.deepEqual(errorsOf("processor: { share: 1.5, speed: 2 }"), []);
});
