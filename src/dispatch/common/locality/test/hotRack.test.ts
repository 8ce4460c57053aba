import test from "ava";
import murmurhash from "murmurhash";
import { EstimatedCostPolicy } from "../estimatedCostPolicy";
import { FixedDelayPolicy } from "../fixedDelayPolicy";
import { ImmediatePolicy } from "../immediatePolicy";
import { PlacePolicy } from "../placePolicy";
import { nearStep, RackLoad } from "./rackLoad";

/** Estimates are off by up to twice in each direction. */
const ERRORS = [1, 0.5, 2, 0.8, 1.3];

/** Estimated durations of the jobs' tasks, in ms. */
const ESTIMATES_MS = [400, 800, 1_600];

/** A load of 12 s: jobs of four tasks each, of which a share wants the rack `r1`. */
interface Load {
    readonly name: string;
    /** Time between two jobs, in ms. */
    readonly intervalMs: number;
    /** Of this many jobs in a row, the number that want the rack. */
    readonly near: number;
    readonly of: number;
}

const LOADS: readonly Load[] = [
    { name: "the rack has room for most of those that want it", intervalMs: 150, near: 1, of: 3 },
    { name: "the rack is wanted by more than it has room for", intervalMs: 100, near: 2, of: 3 },
    { name: "nearly all want the rack, in a burst", intervalMs: 50, near: 4, of: 5 },
];

/** Variants of each load, which differ in which job is of which kind. */
const VARIANTS = [0, 1, 2, 3, 4, 5, 6, 7];

/** Part of a caller's time or of the jobs in time by which results may differ without saying anything: jobs are few. */
const TOLERANCE_RATIO = 0.03;

/** What callers got under a policy, over all variants. */
interface Result {
    /** Share of the tasks that ran on the rack that they wanted. */
    readonly nearPercent: number;
    /** Share of the jobs that met their objective. */
    readonly inTimePercent: number;
    /** Mean time from the submission of a job to its end. */
    readonly meanMs: number;
}

/** A well-mixed order of the kinds of jobs. */
function kindOf(number: number, variant: number, count: number): number {
    return murmurhash.v3(`${variant}-${number}-${count}`) % count;
}

function playVariant(
    policy: PlacePolicy | "unaware",
    { intervalMs, near, of }: Load,
    factor: number,
    variant: number,
): Result {
    const load = RackLoad.create({ r1: 6, r2: 6, r3: 6, r4: 6 }, factor, policy);
    const submitted = new Map<string, { readonly at: number; readonly objectiveMs: number }>();
    for (let number = 0; load.now < 12_000; number++) {
        const dataRack = kindOf(number, variant, of) < near ? "r1" : undefined;
        const estimateMs = ESTIMATES_MS[kindOf(number, variant, ESTIMATES_MS.length)];
        load.errors.set(`j${number}`, ERRORS[kindOf(number, variant, ERRORS.length)]);
        const job = load.submit(`j${number}`, nearStep({ tasks: 4, dataRack, estimateMs }));
        submitted.set(`j${number}`, { at: load.now, objectiveMs: job.objectiveMs });
        load.advance(intervalMs);
    }
    load.advance(30_000);
    const times = [...submitted].map(([id, { at, objectiveMs }]) => {
        const end = load.ends.get(id)!;
        return { ms: end - at, isInTime: end <= objectiveMs };
    });
    return {
        nearPercent: (100 * load.starts.near) / (load.starts.near + load.starts.elsewhere),
        inTimePercent: (100 * times.filter(each => each.isInTime).length) / times.length,
        meanMs: times.reduce((sum, { ms }) => sum + ms, 0) / times.length,
    };
}

function play(policy: PlacePolicy | "unaware", load: Load, factor: number): Result {
    const results = VARIANTS.map(variant => playVariant(policy, load, factor, variant));
    const mean = (value: (result: Result) => number) =>
        Math.round(results.reduce((sum, each) => sum + value(each), 0) / results.length);
    return {
        nearPercent: mean(each => each.nearPercent),
        inTimePercent: mean(each => each.inTimePercent),
        meanMs: mean(each => each.meanMs),
    };
}

for (const factor of [1.5, 3]) {
    for (const load of LOADS) {
        test(`waiting by cost serves callers as well as no wait and a fixed one, at ${factor}: ${load.name}`, t => {
            const unaware = play("unaware", load, factor);
            const immediate = play(ImmediatePolicy.create(), load, factor);
            const fixed = play(FixedDelayPolicy.create(1_000), load, factor);
            const byCost = play(EstimatedCostPolicy.create(), load, factor);
            t.log(JSON.stringify({ unaware, immediate, fixed, byCost }));
            for (const other of [unaware, immediate, fixed]) {
                t.true(byCost.inTimePercent >= other.inTimePercent * (1 - TOLERANCE_RATIO));
                t.true(byCost.meanMs <= other.meanMs * (1 + TOLERANCE_RATIO));
            }
        });
    }
}
