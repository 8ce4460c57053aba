import { Caller } from "./caller";
import { FakeNode } from "./fakeNode";
import { LOG_END } from "./network";
import { Random } from "./random";
import { REGIONS, World } from "./world";

/** What can happen at a step of a trial. */
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

/** Takes an action in the world. */
type Act = (world: World, caller: Caller, random: Random) => void;

/** How often each action is taken, in parts of the sum. */
const FREQUENCIES: readonly (readonly [Action, number])[] = [
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

const TOTAL = FREQUENCIES.reduce((sum, [, frequency]) => sum + frequency, 0);

/** @param random Decides. @returns The action of a step. */
export function actionOf(random: Random): Action {
    let left = random.between(1, TOTAL);
    for (const [action, frequency] of FREQUENCIES) {
        left -= frequency;
        if (left <= 0) {
            return action;
        }
    }
    return "none";
}

function withNode(world: World, random: Random, act: (node: FakeNode) => void): void {
    if (world.alive.length > 0) {
        act(random.pick(world.alive));
    }
}

function withWorker(world: World, random: Random, act: (name: string) => void): void {
    act(random.pick([...world.workers.keys()]));
}

function replaceDead(world: World): void {
    world.nodes.forEach((node, index) => {
        if (node.isDead) {
            world.addNode(index);
        }
    });
}

/** Regions lose each other; the log is in one of them. */
function partRegions(world: World, random: Random): void {
    const logRegion = random.pick(REGIONS);
    const ends = [
        ...world.alive.map(node => [node.name, node.identity.region] as const),
        ...[...world.workers.keys()].map(name => [name, world.regionOf(name)] as const),
        [LOG_END, logRegion] as const,
    ];
    for (const [one, region] of ends) {
        ends.filter(([, other]) => other !== region).forEach(([other]) => world.network.cut(one, other));
    }
}

/** What each action does. */
export const ACTIONS: Readonly<Record<Action, Act>> = {
    none: () => undefined,
    submit: (world, caller, random) => withNode(world, random, node => caller.submit(node, random)),
    resubmit: (world, caller, random) => withNode(world, random, node => caller.resubmit(node, random)),
    quotes: (world, caller, random) => withNode(world, random, node => caller.askQuotes(node, random)),
    "cancel-burst": (world, caller, random) => withNode(world, random, node => caller.cancelBurst(node, random)),
    tickets: (world, caller, random) => {
        if (world.alive.length > 0) {
            caller.fileTickets(world.alive, random);
        }
    },
    "log-down": world => (world.log.faults.down = true),
    "log-up": world => (world.log.faults.down = false),
    "lose-replies": world => (world.log.faults.losesReplies = true),
    "keep-replies": world => (world.log.faults.losesReplies = false),
    crash: (world, _caller, random) => withNode(world, random, node => node.crash()),
    replace: world => replaceDead(world),
    "graceful-stop": (world, _caller, random) => withNode(world, random, node => node.stop()),
    pause: (world, _caller, random) =>
        withNode(world, random, node => node.pause(random.chance(0.5) ? "at-once" : "after-decision")),
    resume: world => world.alive.forEach(node => node.resume()),
    "cut-link": (world, _caller, random) =>
        withNode(world, random, node => {
            const others = world.alive.filter(each => each !== node).map(each => each.name);
            world.network.cut(node.name, random.pick([LOG_END, ...others]));
        }),
    "cut-worker": (world, _caller, random) =>
        withWorker(world, random, worker => {
            const nodes = world.alive.filter(() => random.chance(0.5));
            nodes.forEach(node => world.network.cut(node.name, worker));
        }),
    "part-regions": (world, _caller, random) => partRegions(world, random),
    "heal-links": world => world.network.healAll(),
    "reboot-worker": (world, _caller, random) =>
        withWorker(world, random, worker => world.workers.get(worker)!.reboot()),
    "bad-worker": (world, _caller, random) =>
        withWorker(world, random, worker => (world.workers.get(worker)!.failsEverything = true)),
    "good-workers": world => world.workers.forEach(worker => (worker.failsEverything = false)),
    "worker-leaves": (world, _caller, random) => withWorker(world, random, worker => world.setLeaving(worker, true)),
    "worker-stays": (world, _caller, random) => withWorker(world, random, worker => world.setLeaving(worker, false)),
    "heal-all": (world, _caller, random) => {
        world.log.faults.down = false;
        world.log.faults.losesReplies = false;
        world.network.healAll();
        world.alive.forEach(node => node.resume());
        replaceDead(world);
        world.workers.forEach((worker, name) => {
            worker.failsEverything = false;
            world.setLeaving(name, false);
        });
        ACTIONS["good-workers"](world, _caller, random);
    },
};
