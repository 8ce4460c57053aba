import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { PLAN_NAMES, PlanName } from "../common/faultPlan";
import { Soak, SoakOptions } from "./soak";

/**
 * Soaks of real processes with faults from outside. Flags: `--seed FIRST --count N --rounds N --entries N --workers N --mode
 * NAME --duty PERCENT --deadly PERCENT --out FOLDER`, where `--mode` names a plan of `FaultPlan`, `--duty` is the share of a core that each
 * entry gets, and `--out` gets a folder with the record of each run, and the logs of the entries if a rule was broken.
 * `--regressions` runs the seeds of `soak/regressions.json` instead. The exit code is 1 if a rule was broken.
 */
const REGRESSIONS_FILE = "soak/regressions.json";

const MAX_PRINTED_VIOLATIONS = 5;

const EXIT_INTERRUPTED = 130;

/** A run that has once broken a rule, and why. */
interface Regression extends Omit<SoakOptions, "folder"> {
    readonly cause: string;
}

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        count: { type: "string", default: "1" },
        rounds: { type: "string", default: "3" },
        entries: { type: "string", default: "8" },
        workers: { type: "string", default: "16" },
        mode: { type: "string", default: "random" },
        duty: { type: "string", default: "100" },
        deadly: { type: "string", default: "0" },
        out: { type: "string", default: "out/fault-soak" },
        regressions: { type: "boolean", default: false },
    },
});

function readNumber(name: "seed" | "count" | "rounds" | "entries" | "workers" | "duty" | "deadly", least = 1): number {
    const value = Number(values[name]);
    if (!Number.isSafeInteger(value) || value < least) {
        console.error(`--${name} must be a whole number of at least ${least}`);
        process.exit(2);
    }
    return value;
}

function readOptions(): Omit<SoakOptions, "folder">[] {
    if (values.regressions) {
        return JSON.parse(readFileSync(REGRESSIONS_FILE, "utf8")) as Regression[];
    }
    if (!PLAN_NAMES.includes(values.mode as PlanName)) {
        console.error(`--mode must be one of ${PLAN_NAMES.join(", ")}`);
        process.exit(2);
    }
    return Array.from({ length: readNumber("count") }, (_, index) => ({
        seed: readNumber("seed") + index,
        mode: values.mode as PlanName,
        rounds: readNumber("rounds"),
        entries: readNumber("entries"),
        workers: readNumber("workers"),
        dutyPercent: readNumber("duty"),
        deadlyPercent: readNumber("deadly", 0),
    }));
}

// The processes of the entries are killed on exit.
(["SIGINT", "SIGTERM"] as const).forEach(signal => process.once(signal, () => process.exit(EXIT_INTERRUPTED)));

for (const options of readOptions()) {
    const { seed, mode } = options;
    const folder = join(values.out, `${mode}-${seed}`);
    const { violations, longestGapsMs, jobs, starts } = await Soak.run({ ...options, folder });
    console.log(
        `${mode} seed ${seed}: ${violations.length} violations, longest gaps ${longestGapsMs.join(", ")} ms, ${jobs} jobs, ${starts} starts`,
    );
    if (violations.length > 0) {
        process.exitCode = 1;
        violations
            .slice(0, MAX_PRINTED_VIOLATIONS)
            .forEach(({ atMs, rule, detail }) => console.log(`  ${atMs} ${rule}: ${detail}`));
        console.log(`  record and logs: ${folder}`);
    }
}
