import { Trial, TrialResult } from "./trial";

/** Trials that the search for a shorter trace may take. */
const MAX_SHRINK_TRIALS = 40;

const DEFAULT_STEPS = 20_000;

function readNumber(name: string, fallback: number): number {
    const index = process.argv.indexOf(`--${name}`);
    const value = index < 0 ? fallback : Number(process.argv[index + 1]);
    if (!Number.isSafeInteger(value)) {
        console.error(`--${name} must be a whole number`);
        process.exit(2);
    }
    return value;
}

/** Leaves out ever smaller parts of the trace for as long as the trial still fails. */
function shrink(seed: number, steps: number, failing: TrialResult): TrialResult {
    let best = failing;
    const skipped = new Set<number>();
    let part = Math.ceil(best.trace.size / 2);
    for (let trials = 0; trials < MAX_SHRINK_TRIALS && part >= 1;) {
        let shorter = false;
        const actions = [...best.trace.keys()];
        for (let start = 0; start < actions.length && trials < MAX_SHRINK_TRIALS; start += part) {
            const tried = new Set([...skipped, ...actions.slice(start, start + part)]);
            trials += 1;
            const result = Trial.run({ seed, steps, skipped: tried });
            if (result.violations[0]?.invariant === failing.violations[0].invariant) {
                best = result;
                tried.forEach(step => skipped.add(step));
                shorter = true;
                break;
            }
        }
        part = shorter ? Math.min(part, Math.ceil(best.trace.size / 2)) : Math.floor(part / 2);
    }
    return best;
}

const seed = readNumber("seed", 1);
const steps = readNumber("steps", DEFAULT_STEPS);
const startedAt = process.hrtime.bigint();
const result = Trial.run({ seed, steps, calm: process.argv.includes("--calm") });
const seconds = Number((process.hrtime.bigint() - startedAt) / 1_000_000n) / 1_000;
console.log(`seed ${seed}, ${steps} steps, ${seconds} s`, JSON.stringify(result.counts));
if (result.violations.length === 0) {
    console.log("every invariant held");
} else {
    const shortest = process.argv.includes("--no-shrink") ? result : shrink(seed, steps, result);
    console.log(`shortest failing trace found, ${shortest.trace.size} actions:`);
    for (const [step, action] of [...shortest.trace].slice(-60)) {
        console.log(`  step ${step}: ${action}`);
    }
    shortest.state.forEach(line => console.log(line));
    shortest.violations.slice(0, 20).forEach(each => console.log(`violated ${each.invariant}: ${each.detail}`));
    console.log(`replay: npm run soak -- --seed ${seed} --steps ${steps}`);
    process.exitCode = 1;
}
