import { RouteHandler } from "../../serving/common/routeHandler";
import { ShardHandler } from "../../serving/common/shardHandler";
import { UpstreamChoice } from "../../routing/common/upstreamChoice";
import { PlacementPolicy } from "../../scheduling/common/placementPolicy";
import { UsageModel } from "../../scheduling/common/usageModel";
import { Workload } from "../../standin/common/workload";
import { SimulatedClient } from "./simulatedClient";
import { SimulatedInstance } from "./simulatedInstance";
import { Random } from "./random";
import { installVirtualClock } from "./virtualClock";
import { ExecutionChecker } from "./executionChecker";
import { SERVICE_SLOT, SimulatedCluster, WORKER_CAPACITY } from "./simulatedCluster";

/** Conditions under which a contender is measured. */
export type ScenarioName = "calm" | "noisy-waves" | "wrong-declarations" | "failing-worker" | "instance-deaths";

/** All scenarios. */
export const SCENARIOS: readonly ScenarioName[] = [
    "calm",
    "noisy-waves",
    "wrong-declarations",
    "failing-worker",
    "instance-deaths",
];

const STEP_INTERVAL_MS = 100;
const WARM_UP_DURATION_MS = 60_000;
const MEASUREMENT_DURATION_MS = 240_000;
const WAVE_DURATION_MS = 40_000;
const CRASH_INTERVAL_MS = 90_000;
const REPLACEMENT_DELAY_MS = 20_000;

/** Mean number of tasks submitted in each step outside waves. */
const MEAN_TASKS_PER_STEP = 0.22;

/** Task families with their declared CPUs. `hungry` mainly slows down quotes, `bulky` itself, the others nothing. */
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

/** A combination of policies for placing tasks and requests; a policy that is not given is the default one. */
export interface Contender {
    readonly name: string;
    readonly policy?: () => PlacementPolicy;
    readonly usage?: () => UsageModel;
    readonly choice?: () => UpstreamChoice;
}

/** Figures of one run, written out under their names. */
export interface ScenarioFigures {
    /** 99th percentile of the time to the head of a quote's response, in ms; failed quotes count with their deadline. */
    readonly tailMs: number;
    /** Tasks done during the measurement. */
    readonly done: number;
    readonly evictions: number;
}

/** Runs one scenario with one contender on a virtual clock. */
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
        const clock = installVirtualClock();
        try {
            const random = Random.create(this.seed);
            const checker = ExecutionChecker.create(WORKER_CAPACITY, SERVICE_SLOT, () => false);
            const size = { nodes: 3, workers: 12, shardsPerRegion: 1, retention: 10_000, isReliable: true };
            const cluster = SimulatedCluster.create(size, WORKLOAD, random, checker);
            const client = SimulatedClient.create();
            cluster.nodes.forEach(node => this.useContender(node));
            this.advance(cluster, client, WARM_UP_DURATION_MS, tick => clock.tick(tick));
            const before = { done: checker.doneCount, evictions: checker.evictionCount };
            client.latencies.length = 0;
            this.advance(cluster, client, MEASUREMENT_DURATION_MS, tick => clock.tick(tick));
            const sorted = [...client.latencies].sort((a, b) => a - b);
            return {
                tailMs: sorted[Math.floor(sorted.length * 0.99)],
                done: checker.doneCount - before.done,
                evictions: checker.evictionCount - before.evictions,
            };
        } finally {
            clock.uninstall();
        }
    }

    private useContender(node: SimulatedInstance): void {
        const { policy, usage, choice } = this.contender;
        const shardHandler = node.instance.feature(ShardHandler);
        const routeHandler = node.instance.feature(RouteHandler);
        shardHandler.useModels({ ...(policy && { policy: policy() }), ...(usage && { usage: usage() }) });
        if (choice !== undefined) {
            routeHandler.useChoice(choice());
        }
    }

    private advance(
        cluster: SimulatedCluster,
        client: SimulatedClient,
        lengthMs: number,
        tick: (ms: number) => void,
    ): void {
        const { random } = cluster;
        if (performance.now() < STEP_INTERVAL_MS) {
            tick(STEP_INTERVAL_MS);
            this.filePolicyWeights(cluster);
        }
        for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += STEP_INTERVAL_MS) {
            const node = random.pick(cluster.liveNodes);
            client.requestQuotes(node, random);
            if (random.chance(this.taskRate(elapsedMs))) {
                const [family, declaredCpus] = this.pickFamily(elapsedMs, random);
                client.submitFamily(random.pick(cluster.liveNodes), family, declaredCpus);
            }
            this.injectFaults(cluster, elapsedMs);
            tick(STEP_INTERVAL_MS);
        }
    }

    private filePolicyWeights(cluster: SimulatedCluster): void {
        const objects = [{ key: "policy/weights", value: JSON.stringify(this.weights) }];
        const draft = { number: 1, basedOn: 0, author: "bench", reason: "bench", objects };
        cluster.nodes[0].callApi({ kind: "ticket-file", draft }, () => undefined);
    }

    private taskRate(elapsedMs: number): number {
        const isWave = this.name === "noisy-waves" && Math.floor(elapsedMs / WAVE_DURATION_MS) % 2 === 1;
        return isWave ? 2 * MEAN_TASKS_PER_STEP : MEAN_TASKS_PER_STEP;
    }

    private pickFamily(elapsedMs: number, random: Random): readonly [string, number] {
        const isWave = this.name === "noisy-waves" && Math.floor(elapsedMs / WAVE_DURATION_MS) % 2 === 1;
        const [family, declaredCpus] = isWave && random.chance(0.5) ? FAMILIES[0] : random.pick(FAMILIES);
        return [family, this.name === "wrong-declarations" ? declaredCpus * random.pick([1, 2, 3]) : declaredCpus];
    }

    private injectFaults(cluster: SimulatedCluster, elapsedMs: number): void {
        const worker = cluster.workers.get("worker-0")!;
        worker.isFailingAttempts = this.name === "failing-worker";
        if (this.name !== "instance-deaths") {
            return;
        }
        if (elapsedMs % CRASH_INTERVAL_MS === 0 && elapsedMs > 0) {
            cluster.liveNodes[0].crash();
        }
        if (elapsedMs % CRASH_INTERVAL_MS === REPLACEMENT_DELAY_MS) {
            cluster.nodes.forEach((node, index) => {
                if (node.isStopped) {
                    cluster.addNode(index);
                    this.useContender(cluster.nodes[index]);
                }
            });
        }
    }
}
