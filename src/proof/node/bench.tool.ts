import { mkdirSync, writeFileSync } from "node:fs";
import { formatTable } from "../../base/common/table";
import { LeastConnections } from "../../routing/common/leastConnections";
import { RoundRobin } from "../../routing/common/roundRobin";
import { DeclaredUsage } from "../../scheduling/common/declaredUsage";
import { FirstFit } from "../../scheduling/common/firstFit";
import { LeastLoaded } from "../../scheduling/common/leastLoaded";
import { RandomFit } from "../../scheduling/common/randomFit";
import { benchTask, ShardBench } from "./shardBench";
import { Contender, Scenario, ScenarioFigures, SCENARIOS } from "./scenario";

const SEEDS = [1, 2, 3, 4];
const US_PER_MS = 1_000;

/** Stated target of the time from a submission to the start of urgent work, in ms. */
const URGENT_START_TARGET_MS = 5_400;

/** Share by which the policy may fall short of a baseline before that counts as worse: the spread between seeds. */
const NOISE = 0.03;

const DEPLOYMENTS = {
    cennin: { weights: { tailLatency: 10, throughput: 1, evictions: 1 }, measure: "tailMs", better: "lower" },
    graveurs: { weights: { tailLatency: 1, throughput: 6, evictions: 10 }, measure: "done", better: "higher" },
} as const;

const OWN: Contender = { name: "wigeonstall" };

const PLACEMENTS: readonly Contender[] = [
    OWN,
    { name: "first fit", policy: () => FirstFit.create(), usage: () => DeclaredUsage.create() },
    { name: "random", policy: () => RandomFit.create(7), usage: () => DeclaredUsage.create() },
    { name: "least loaded", policy: () => LeastLoaded.create(), usage: () => DeclaredUsage.create() },
];

const CHOICES: readonly Contender[] = [
    OWN,
    { name: "round robin", choice: () => RoundRobin.create() },
    { name: "least connections", choice: () => LeastConnections.create() },
];

function mean(runs: readonly ScenarioFigures[]): ScenarioFigures {
    const average = (value: (run: ScenarioFigures) => number) =>
        runs.reduce((sum, each) => sum + value(each), 0) / runs.length;
    return {
        tailMs: average(each => each.tailMs),
        done: average(each => each.done),
        evictions: average(each => each.evictions),
    };
}

interface Row {
    readonly deployment: string;
    readonly scenario: string;
    readonly contender: string;
    readonly figures: ScenarioFigures;
    readonly verdict: string;
}

function compare(deployment: keyof typeof DEPLOYMENTS, contenders: readonly Contender[]): Row[] {
    const { weights, measure, better } = DEPLOYMENTS[deployment];
    return SCENARIOS.flatMap(scenario => {
        const figures = contenders.map(each => mean(SEEDS.map(seed => Scenario.run(scenario, each, seed, weights))));
        const own = figures[0][measure];
        return contenders.map((contender, index): Row => {
            const other = figures[index][measure];
            const worse = better === "lower" ? own > other * (1 + NOISE) : own < other * (1 - NOISE);
            const verdict = index === 0 ? "" : worse ? "POLICY WORSE" : "ok";
            return { deployment, scenario, contender: contender.name, figures: figures[index], verdict };
        });
    });
}

/** Processor time of one start, and of folding one record, at the size of a shard of the target. */
function decisionCosts(): { readonly placeUs: number; readonly foldUs: number } {
    const bench = ShardBench.create(58);
    const before = process.cpuUsage();
    bench.fill(506);
    const folded = process.cpuUsage(before);
    for (let index = 0; index < 64; index++) {
        bench.apply([benchTask(10_000 + index)]);
    }
    const start = process.cpuUsage();
    bench.placer.pass(performance.now(), Date.now());
    const used = process.cpuUsage(start);
    return { placeUs: (used.user + used.system) / 64, foldUs: (folded.user + folded.system) / (2 * 506) };
}

const rows = [
    ...compare("cennin", PLACEMENTS),
    ...compare("graveurs", PLACEMENTS),
    ...compare("cennin", CHOICES).map(row => ({ ...row, deployment: "cennin, requests" })),
];
const costs = decisionCosts();
/** An urgent task waits for a flush, its record, a pass, another flush, its record, and a call to the worker. */
const urgentMs = 200 + 25 + 200 + 200 + 25 + 25 + (costs.placeUs * 92) / US_PER_MS;
console.log(
    formatTable(
        ["DEPLOYMENT", "SCENARIO", "PLACED BY", "QUOTE P99 MS", "TASKS DONE", "EVICTIONS", "AGAINST THE POLICY"],
        rows.map(row => [
            row.deployment,
            row.scenario,
            row.contender,
            row.figures.tailMs.toFixed(0),
            row.figures.done.toFixed(0),
            row.figures.evictions.toFixed(0),
            row.verdict,
        ]),
    ),
);
const worse = rows.filter(row => row.verdict === "POLICY WORSE").length;
const bounds = [
    [
        "one start, 58 workers and 506 tasks of a shard",
        `${costs.placeUs.toFixed(0)} µs`,
        "3 ms: 11.5 starts/s of an instance in 3.5% of a core",
    ],
    ["one record folded", `${costs.foldUs.toFixed(0)} µs`, "1 ms: 34.5 records/s of an instance in 3.5% of a core"],
    ["urgent start, by the steps on its way", `${urgentMs.toFixed(0)} ms`, `${URGENT_START_TARGET_MS} ms`],
    ["cases in which a baseline is better", String(worse), "0"],
];
console.log(`\n${formatTable(["FIGURE", "VALUE", "BOUND"], bounds)}`);
mkdirSync("out", { recursive: true });
writeFileSync("out/bench.json", JSON.stringify({ rows, costs, urgentMs, worse }, undefined, 2));
const held = costs.placeUs < 3_000 && costs.foldUs < 1_000 && urgentMs < URGENT_START_TARGET_MS && worse === 0;
process.exitCode = held ? 0 : 1;
