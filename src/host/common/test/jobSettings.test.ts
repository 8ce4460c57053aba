import test from "ava";
import { formatFinding } from "../../../base/common/finding";
import { parseYaml } from "../../../base/common/schemaFindings";
import { jobSettingsSchema } from "../jobSettings";

/** @param processor Lines about the processor. @returns Settings of an instance. */
function settingsWith(processor: readonly string[]): string {
    return [
        "instance: a",
        "region: r",
        "failureDomain: d",
        "listen: { calls: 'h:1', readiness: 'h:2' }",
        "store: 'h:3'",
        "scheduling: { longestLeaseMs: 1, stopMs: 1, gangWaitMs: 1, harmMs: 1, configurationMs: 1, retentionS: 1 }",
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
