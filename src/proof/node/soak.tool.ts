import { Trial, TrialResult } from "./trial";

/** Maximum number of trials in the search for a shorter failing trace. */
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

/** Shortens a failing trace: skips ever smaller chunks of its actions while the same invariant is still violated. */
function shrink(seed: number, steps: number, failing: TrialResult): TrialResult {
    let shortest = failing;
    const skipped = new Set<number>();
    let chunkSize = Math.ceil(shortest.trace.size / 2);
    for (let trialCount = 0; trialCount < MAX_SHRINK_TRIALS && chunkSize >= 1;) {
        let isShorter = false;
        const actions = [...shortest.trace.keys()];
        for (let start = 0; start < actions.length && trialCount < MAX_SHRINK_TRIALS; start += chunkSize) {
            const candidate = new Set([...skipped, ...actions.slice(start, start + chunkSize)]);
            trialCount += 1;
            const result = Trial.run({ seed, steps, skippedSteps: candidate });
            if (result.violations[0]?.invariant === failing.violations[0].invariant) {
                shortest = result;
                candidate.forEach(step => skipped.add(step));
                isShorter = true;
                break;
            }
        }
        chunkSize = isShorter ? Math.min(chunkSize, Math.ceil(shortest.trace.size / 2)) : Math.floor(chunkSize / 2);
    }
    return shortest;
}

const seed = readNumber("seed", 1);
const steps = readNumber("steps", DEFAULT_STEPS);
const startedAt = process.hrtime.bigint();
const result = Trial.run({ seed, steps, isFaultFree: process.argv.includes("--calm") });
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
    shortest.instanceStates.forEach(line => console.log(line));
    shortest.violations.slice(0, 20).forEach(each => console.log(`violated ${each.invariant}: ${each.detail}`));
    console.log(`replay: npm run soak -- --seed ${seed} --steps ${steps}`);
    process.exitCode = 1;
}
