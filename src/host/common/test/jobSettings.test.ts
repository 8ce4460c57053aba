import test from "ava";
import { formatFinding } from "../../../base/common/finding";
import { parseYaml } from "../../../base/common/schemaFindings";
import { jobSettingsSchema } from "../jobSettings";

/** @param bounds Lines of the section `scheduling`. @returns Errors of a settings file with them, with their positions. */
function checkScheduling(bounds: readonly string[]): string[] {
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
        "    configurationMs: 2500",
        "    retentionS: 120",
        ...bounds.map(line => `    ${line}`),
    ].join("\n");
    return parseYaml(text, "entry.yaml", jobSettingsSchema).findings.map(formatFinding);
}

test("the bounds of cancellations and of workers that leave may be missing or empty", t => {
    t.deepEqual(checkScheduling([]), []);
    t.deepEqual(checkScheduling(["cancelMs:", "drainMs:"]), []);
    t.deepEqual(checkScheduling(["cancelMs: 3000", "drainMs: 5000"]), []);
});

test("a bound so short that nothing could be started is an error with its position", t => {
    const lines = checkScheduling(["cancelMs: 600", "drainMs: 0"]);
    t.is(lines.length, 2);
    t.regex(lines[0], /^entry.yaml:14:15: scheduling.cancelMs is 600 \(expected more than 600\)/);
    t.regex(lines[1], /^entry.yaml:15:14: scheduling.drainMs is 0 \(expected more than 600\)/);
    t.regex(checkScheduling(["drainMs: soon"])[0], /^entry.yaml:14:14: scheduling.drainMs/);
});
