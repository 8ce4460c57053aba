import { SimulatedClient } from "./simulatedClient";
import { SimulatedInstance } from "./simulatedInstance";
import { LOG_ENDPOINT } from "./network";
import { Random } from "./random";
import { REGIONS, SimulatedCluster } from "./simulatedCluster";

/** Actions of a trial; each step performs one of them. */
export type Action =
    | "none"
    | "submit"
    | "resubmit"
    | "quotes"
    | "cancel-burst"
    | "tickets"
    | "log-down"
    | "log-up"
    | "lose-replies"
    | "keep-replies"
    | "crash"
    | "replace"
    | "graceful-stop"
    | "pause"
    | "resume"
    | "cut-link"
    | "cut-worker"
    | "part-regions"
    | "heal-links"
    | "reboot-worker"
    | "bad-worker"
    | "good-workers"
    | "worker-leaves"
    | "worker-stays"
    | "heal-all";

/** Performs an action on a cluster. */
type PerformAction = (cluster: SimulatedCluster, client: SimulatedClient, random: Random) => void;

/** Relative frequency of each action. */
const ACTION_FREQUENCIES: readonly (readonly [Action, number])[] = [
    ["none", 400],
    ["submit", 200],
    ["resubmit", 20],
    ["quotes", 200],
    ["cancel-burst", 4],
    ["tickets", 10],
    ["log-down", 2],
    ["log-up", 4],
    ["lose-replies", 4],
    ["keep-replies", 8],
    ["crash", 2],
    ["replace", 5],
    ["graceful-stop", 2],
    ["pause", 4],
    ["resume", 8],
    ["cut-link", 4],
    ["cut-worker", 4],
    ["part-regions", 1],
    ["heal-links", 8],
    ["reboot-worker", 2],
    ["bad-worker", 1],
    ["good-workers", 2],
    ["worker-leaves", 2],
    ["worker-stays", 4],
];

const TOTAL_FREQUENCY = ACTION_FREQUENCIES.reduce((sum, [, frequency]) => sum + frequency, 0);

/** @param random Source of randomness. @returns The action of a step. */
export function pickAction(random: Random): Action {
    let remaining = random.between(1, TOTAL_FREQUENCY);
    for (const [action, frequency] of ACTION_FREQUENCIES) {
        remaining -= frequency;
        if (remaining <= 0) {
            return action;
        }
    }
    return "none";
}

function withRandomNode(cluster: SimulatedCluster, random: Random, act: (node: SimulatedInstance) => void): void {
    if (cluster.liveNodes.length > 0) {
        act(random.pick(cluster.liveNodes));
    }
}

function withRandomWorker(cluster: SimulatedCluster, random: Random, act: (name: string) => void): void {
    act(random.pick([...cluster.workers.keys()]));
}

function replaceDeadNodes(cluster: SimulatedCluster): void {
    cluster.nodes.forEach((node, index) => {
        if (node.isStopped) {
            cluster.addNode(index);
        }
    });
}

/** Cuts the regions off from each other; the log is in one of them. */
function partitionRegions(cluster: SimulatedCluster, random: Random): void {
    const logRegion = random.pick(REGIONS);
    const endpoints = [
        ...cluster.liveNodes.map(node => [node.name, node.identity.region] as const),
        ...[...cluster.workers.keys()].map(name => [name, cluster.regionOf(name)] as const),
        [LOG_ENDPOINT, logRegion] as const,
    ];
    for (const [one, region] of endpoints) {
        endpoints.filter(([, other]) => other !== region).forEach(([other]) => cluster.network.cut(one, other));
    }
}

/** Implementation of each action. */
export const ACTIONS: Readonly<Record<Action, PerformAction>> = {
    none: () => undefined,
    submit: (cluster, client, random) => withRandomNode(cluster, random, node => client.submit(node, random)),
    resubmit: (cluster, client, random) => withRandomNode(cluster, random, node => client.resubmit(node, random)),
    quotes: (cluster, client, random) => withRandomNode(cluster, random, node => client.requestQuotes(node, random)),
    "cancel-burst": (cluster, client, random) =>
        withRandomNode(cluster, random, node => client.cancelRecent(node, random)),
    tickets: (cluster, client, random) => {
        if (cluster.liveNodes.length > 0) {
            client.fileTickets(cluster.liveNodes, random);
        }
    },
    "log-down": cluster => (cluster.log.faults.isDown = true),
    "log-up": cluster => (cluster.log.faults.isDown = false),
    "lose-replies": cluster => (cluster.log.faults.isLosingReplies = true),
    "keep-replies": cluster => (cluster.log.faults.isLosingReplies = false),
    crash: (cluster, _client, random) => withRandomNode(cluster, random, node => node.crash()),
    replace: cluster => replaceDeadNodes(cluster),
    "graceful-stop": (cluster, _client, random) => withRandomNode(cluster, random, node => node.stop()),
    pause: (cluster, _client, random) =>
        withRandomNode(cluster, random, node => node.pause(random.chance(0.5) ? "at-once" : "after-decision")),
    resume: cluster => cluster.liveNodes.forEach(node => node.resume()),
    "cut-link": (cluster, _client, random) =>
        withRandomNode(cluster, random, node => {
            const others = cluster.liveNodes.filter(each => each !== node).map(each => each.name);
            cluster.network.cut(node.name, random.pick([LOG_ENDPOINT, ...others]));
        }),
    "cut-worker": (cluster, _client, random) =>
        withRandomWorker(cluster, random, worker => {
            const nodes = cluster.liveNodes.filter(() => random.chance(0.5));
            nodes.forEach(node => cluster.network.cut(node.name, worker));
        }),
    "part-regions": (cluster, _client, random) => partitionRegions(cluster, random),
    "heal-links": cluster => cluster.network.healAll(),
    "reboot-worker": (cluster, _client, random) =>
        withRandomWorker(cluster, random, worker => cluster.workers.get(worker)!.restart()),
    "bad-worker": (cluster, _client, random) =>
        withRandomWorker(cluster, random, worker => (cluster.workers.get(worker)!.isFailingAttempts = true)),
    "good-workers": cluster => cluster.workers.forEach(worker => (worker.isFailingAttempts = false)),
    "worker-leaves": (cluster, _client, random) =>
        withRandomWorker(cluster, random, worker => cluster.setWorkerLeaving(worker, true)),
    "worker-stays": (cluster, _client, random) =>
        withRandomWorker(cluster, random, worker => cluster.setWorkerLeaving(worker, false)),
    "heal-all": (cluster, _client, random) => {
        cluster.log.faults.isDown = false;
        cluster.log.faults.isLosingReplies = false;
        cluster.network.healAll();
        cluster.liveNodes.forEach(node => node.resume());
        replaceDeadNodes(cluster);
        cluster.workers.forEach((worker, name) => {
            worker.isFailingAttempts = false;
            cluster.setWorkerLeaving(name, false);
        });
        ACTIONS["good-workers"](cluster, _client, random);
    },
};
