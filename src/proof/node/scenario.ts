import { RouteDesk } from "../../serving/common/routeDesk";
import { ShardDesk } from "../../serving/common/shardDesk";
import { UpstreamChoice } from "../../routing/common/upstreamChoice";
import { PlacementPolicy } from "../../scheduling/common/placementPolicy";
import { UsageModel } from "../../scheduling/common/usageModel";
import { Workload } from "../../standin/common/workload";
import { SimulatedClient } from "./simulatedClient";
import { SimulatedInstance } from "./simulatedInstance";
import { Random } from "./random";
import { installClock } from "./virtualClock";
import { ExecutionChecker } from "./executionChecker";
import { SERVICE_SLOT, SimulatedCluster, WORKER_CAPACITY } from "./simulatedCluster";

/** What happens while a policy is measured. */
export type ScenarioName = "calm" | "noisy-waves" | "wrong-declarations" | "failing-worker" | "instance-deaths";

/** All scenarios. */
export const SCENARIOS: readonly ScenarioName[] = [
    "calm",
    "noisy-waves",
    "wrong-declarations",
    "failing-worker",
    "instance-deaths",
];

const STEP_MS = 100;
const WARM_UP_MS = 60_000;
const MEASURED_MS = 240_000;
const WAVE_MS = 40_000;
const DEATH_INTERVAL_MS = 90_000;
const REPLACEMENT_MS = 20_000;

/** Tasks submitted per step on average. */
const TASKS_PER_STEP = 0.22;

/** Families with what they declare; `hungry` hurts quotes, `bulky` hurts itself, the others hurt nobody. */
const FAMILIES = [
    ["hungry", 4],
    ["bulky", 4],
    ["light", 2],
    ["plain", 3],
] as const;

const WORKLOAD: Workload = {
    families: {
        hungry: { cpus: 4, memoryGb: 2, durationMs: 20_000, failureRate: 0 },
        bulky: { cpus: 4, memoryGb: 2, durationMs: 20_000, failureRate: 0 },
        light: { cpus: 2, memoryGb: 2, durationMs: 20_000, failureRate: 0 },
        plain: { cpus: 3, memoryGb: 2, durationMs: 20_000, failureRate: 0 },
    },
    interference: {
        quotes: { hungry: 0.5, bulky: 0.05 },
        bulky: { bulky: 0.4, hungry: 0.2 },
        hungry: { bulky: 0.2 },
    },
};

/** What is measured: how requests and tasks are placed. */
export interface Contender {
    readonly name: string;
    readonly policy?: () => PlacementPolicy;
    readonly usage?: () => UsageModel;
    readonly choice?: () => UpstreamChoice;
}

/** Figures of one run. */
export interface ScenarioFigures {
    /** 99th percentile of the time to the head of a quote's answer, in ms. */
    readonly tailMs: number;
    /** Batch tasks done in the measured time. */
    readonly done: number;
    readonly evictions: number;
}

/** Runs one scenario with one contender on a clock of its own. */
export class Scenario {
    private constructor(
        private readonly name: ScenarioName,
        private readonly contender: Contender,
        private readonly seed: number,
        private readonly weights: object,
    ) {}

    /** @returns The figures of one run. */
    static run(name: ScenarioName, contender: Contender, seed: number, weights: object): ScenarioFigures {
        return new Scenario(name, contender, seed, weights).run();
    }

    private run(): ScenarioFigures {
        const clock = installClock();
        try {
            const random = Random.create(this.seed);
            const witness = ExecutionChecker.create(WORKER_CAPACITY, SERVICE_SLOT, () => false);
            const size = { nodes: 3, workers: 12, shardsPerRegion: 1, retention: 10_000, isSound: true };
            const world = SimulatedCluster.create(size, WORKLOAD, random, witness);
            const caller = SimulatedClient.create();
            world.nodes.forEach(node => this.equip(node));
            this.play(world, caller, WARM_UP_MS, tick => clock.tick(tick));
            const before = { done: witness.doneCount, evictions: witness.evictionCount };
            caller.latencies.length = 0;
            this.play(world, caller, MEASURED_MS, tick => clock.tick(tick));
            const sorted = [...caller.latencies].sort((a, b) => a - b);
            return {
                tailMs: sorted[Math.floor(sorted.length * 0.99)],
                done: witness.doneCount - before.done,
                evictions: witness.evictionCount - before.evictions,
            };
        } finally {
            clock.uninstall();
        }
    }

    private equip(node: SimulatedInstance): void {
        const { policy, usage, choice } = this.contender;
        const shardDesk = node.instance.feature(ShardDesk);
        const routeDesk = node.instance.feature(RouteDesk);
        shardDesk.useModels({ ...(policy && { policy: policy() }), ...(usage && { usage: usage() }) });
        if (choice !== undefined) {
            routeDesk.useChoice(choice());
        }
    }

    private play(world: SimulatedCluster, caller: SimulatedClient, lengthMs: number, tick: (ms: number) => void): void {
        const { random } = world;
        if (performance.now() < STEP_MS) {
            tick(STEP_MS);
            this.fileWeights(world);
        }
        for (let at = 0; at < lengthMs; at += STEP_MS) {
            const node = random.pick(world.runningNodes);
            caller.requestQuotes(node, random);
            if (random.chance(this.taskRate(at))) {
                const [family, declared] = this.pickFamily(at, random);
                caller.submitFamily(random.pick(world.runningNodes), family, declared);
            }
            this.disturb(world, at);
            tick(STEP_MS);
        }
    }

    private fileWeights(world: SimulatedCluster): void {
        const objects = [{ key: "policy/weights", value: JSON.stringify(this.weights) }];
        const draft = { number: 1, basedOn: 0, author: "bench", reason: "bench", objects };
        world.nodes[0].callApi({ kind: "ticket-file", draft }, () => undefined);
    }

    private taskRate(at: number): number {
        const isWave = this.name === "noisy-waves" && Math.floor(at / WAVE_MS) % 2 === 1;
        return isWave ? 2 * TASKS_PER_STEP : TASKS_PER_STEP;
    }

    private pickFamily(at: number, random: Random): readonly [string, number] {
        const isWave = this.name === "noisy-waves" && Math.floor(at / WAVE_MS) % 2 === 1;
        const [family, declared] = isWave && random.chance(0.5) ? FAMILIES[0] : random.pick(FAMILIES);
        return [family, this.name === "wrong-declarations" ? declared * random.pick([1, 2, 3]) : declared];
    }

    private disturb(world: SimulatedCluster, at: number): void {
        const first = world.workers.get("worker-0")!;
        first.failsEverything = this.name === "failing-worker";
        if (this.name !== "instance-deaths") {
            return;
        }
        if (at % DEATH_INTERVAL_MS === 0 && at > 0) {
            world.runningNodes[0].crash();
        }
        if (at % DEATH_INTERVAL_MS === REPLACEMENT_MS) {
            world.nodes.forEach((node, index) => {
                if (node.isStopped) {
                    world.addNode(index);
                    this.equip(world.nodes[index]);
                }
            });
        }
    }
}
