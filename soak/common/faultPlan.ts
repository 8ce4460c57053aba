import { Random } from "../../src/proof/node/random";
import { FaultKind, PlannedFault } from "./plannedFault";

/** A named way to plan the faults of a round. */
export type PlanName = "mixed" | "all" | "gone" | "noback" | "random" | "short" | "crashes";

/** All plans. */
export const PLAN_NAMES: readonly PlanName[] = ["mixed", "all", "gone", "noback", "random", "short", "crashes"];

/** Number of entries and workers. */
export interface SiteSize {
    readonly entries: number;
    readonly workers: number;
}

/** Time from the loss of a worker to the removal of its registration, in ms. */
const REGISTRATION_LASTS_MS = 4_500;

/** Time for which the host of a leader stays away, in ms. */
const HOST_AWAY_MS = 15_000;

/** Largest share of the workers that is lost for good in one round. */
const MAX_LOST_RATIO = 0.12;

/** Time over which the faults of a random round begin, and the longest time that one lasts, in ms. */
const RANDOM_ROUND_MS = 15_000;
const MAX_RANDOM_FAULT_MS = 6_000;

/** Time over which the crashes of a round begin, and bounds of the time from one to the next, in ms. */
const CRASH_ROUND_MS = 20_000;
const CRASH_EVERY_MS = [1_600, 2_600] as const;
const SINGLE_CRASH_EVERY_MS = [300, 900] as const;

/** Largest number and largest share of the workers that crash at one moment. */
const MAX_CRASHES_TOGETHER = 10;
const MAX_CRASHED_RATIO = 1 / 3;

/** Time for which a worker that restarts at once is down, and bounds of the time for others, in ms. */
const SHORT_RESTART_MS = 800;
const LONG_RESTART_MS = [2_000, 6_000] as const;

const ENTRY_KINDS: readonly FaultKind[] = [
    "kill-all",
    "kill-some",
    "kill-leader",
    "pause-all",
    "pause-some",
    "pause-leader",
    "terminate-some",
    "terminate-leader",
    "store-link-silent",
    "store-link-to-server",
    "store-link-to-client",
    "store-link-reset",
    "store-link-delayed",
    "store-link-stale",
    "caller-link-silent",
    "caller-link-to-client",
    "caller-link-reset",
    "caller-link-delayed",
    "caller-link-stale",
];

const STORE_KINDS: readonly FaultKind[] = [
    "store-refuses",
    "store-resets",
    "store-silent",
    "store-slow",
    "store-loses-answers",
    "store-executes-late",
];

const WORKER_KINDS: readonly FaultKind[] = [
    "worker-link-silent",
    "worker-link-to-server",
    "worker-link-to-client",
    "worker-link-reset",
    "worker-link-delayed",
    "worker-link-stale",
    "worker-restarts",
    "worker-replaced",
    "worker-lost",
    "worker-orders-late",
];

/** Faults of the short run, which have to leave each task that lasts with a run in time. */
const SHORT_KINDS: readonly FaultKind[] = [
    "kill-leader",
    "terminate-some",
    "pause-some",
    "store-refuses",
    "store-loses-answers",
    "store-link-reset",
    "worker-link-reset",
    "worker-restarts",
];

/** Plans the faults of a round: data that the seed decides alone. */
export class FaultPlan {
    private constructor(
        private readonly random: Random,
        private readonly size: SiteSize,
    ) {}

    /**
     * @param name Way to plan.
     * @param random Source of all choices.
     * @param size Number of entries and workers.
     * @returns The faults of one round, in the order of time.
     */
    static round(name: PlanName, random: Random, size: SiteSize): PlannedFault[] {
        const plan = new FaultPlan(random, size);
        return plan.faults(name).sort((a, b) => a.atMs - b.atMs);
    }

    private faults(name: PlanName): PlannedFault[] {
        switch (name) {
            case "random":
                return this.overlapping();
            case "short":
                return this.series();
            case "crashes":
                return this.crashSeries();
            default:
                return this.siteRestart(name);
        }
    }

    /** Faults of any kinds that overlap. */
    private overlapping(): PlannedFault[] {
        const count = this.random.between(4, 10);
        return Array.from({ length: count }, () => {
            const kinds = this.random.pick([ENTRY_KINDS, STORE_KINDS, WORKER_KINDS]);
            const lastsMs = this.random.between(200, MAX_RANDOM_FAULT_MS);
            return this.fault(this.random.pick(kinds), this.random.between(0, RANDOM_ROUND_MS), lastsMs);
        });
    }

    /** Faults one after the other. */
    private series(): PlannedFault[] {
        let atMs = 0;
        return Array.from({ length: 4 }, () => {
            const lastsMs = this.random.between(500, 2_000);
            const fault = this.fault(this.random.pick(SHORT_KINDS), atMs, lastsMs);
            atMs += lastsMs + this.random.between(500, 2_000);
            return fault;
        });
    }

    /** Workers crash again and again, one by one or many at a moment, and are back soon or only after the next crash. */
    private crashSeries(): PlannedFault[] {
        const { random, size } = this;
        const isSingle = random.chance(0.25);
        const [shortest, longest] = isSingle ? SINGLE_CRASH_EVERY_MS : CRASH_EVERY_MS;
        const most = Math.max(1, Math.min(MAX_CRASHES_TOGETHER, Math.floor(size.workers * MAX_CRASHED_RATIO)));
        const fewest = random.pick([Math.ceil(most / 2), most]);
        const shortRatio = random.pick([0, 0.5, 1]);
        const faults: PlannedFault[] = [];
        for (let atMs = 0; atMs < CRASH_ROUND_MS; atMs += random.between(shortest, longest)) {
            const kind = random.pick<FaultKind>(["worker-restarts", "worker-replaced"]);
            const lastsMs = random.chance(shortRatio) ? SHORT_RESTART_MS : random.between(...LONG_RESTART_MS);
            const count = isSingle ? 1 : random.between(fewest, most);
            const targets = this.choose(size.workers, count);
            faults.push({ kind, atMs, lastsMs, targets, isSilent: random.chance(0.5) });
        }
        return random.chance(0.4) ? [...faults, this.leaderFault()] : faults;
    }

    private leaderFault(): PlannedFault {
        const kind = this.random.pick<FaultKind>(["kill-leader", "pause-leader"]);
        const atMs = this.random.between(0, CRASH_ROUND_MS);
        return { kind, atMs, lastsMs: this.random.between(500, 4_000), targets: [], isSilent: false };
    }

    /** The whole site restarts while the store is away and workers are lost. */
    private siteRestart(name: "mixed" | "all" | "gone" | "noback"): PlannedFault[] {
        const { random } = this;
        const hasOutage = random.chance(0.7);
        const isWholePool = name === "all" || random.chance(0.3);
        const share = isWholePool ? 1 : random.between(10, 35) / 100;
        const isLost = name === "gone" || name === "noback" || (name === "mixed" && share < 1 && random.chance(0.3));
        const startMs = hasOutage ? random.between(200, 2_700) : 0;
        const killMs = startMs + (random.chance(0.34) ? random.between(0, 1_200) : 0);
        const crashMs = startMs + (killMs === startMs && random.chance(0.5) ? random.between(0, 1_200) : 0);
        const downMs = random.between(300, 2_700);
        const crashed = Math.max(1, Math.round(this.size.workers * (isLost ? Math.min(share, MAX_LOST_RATIO) : share)));
        const crash = isLost
            ? this.fault("worker-lost", crashMs, REGISTRATION_LASTS_MS)
            : this.fault("worker-replaced", crashMs, random.between(500, 3_000));
        const away = { ...this.fault("kill-leader", killMs, downMs + HOST_AWAY_MS), targets: [] };
        return [
            ...(hasOutage ? [this.fault("store-refuses", 0, killMs + random.between(0, 1_500))] : []),
            this.fault("kill-all", killMs, downMs),
            ...(name === "noback" ? [away] : []),
            { ...crash, targets: this.choose(this.size.workers, crashed) },
        ];
    }

    private fault(kind: FaultKind, atMs: number, lastsMs: number): PlannedFault {
        const isLost = kind === "worker-lost";
        const isWorkerFault = kind.startsWith("worker");
        const total = isWorkerFault ? this.size.workers : this.size.entries;
        const most = Math.max(1, Math.floor(total * (isLost ? MAX_LOST_RATIO : 0.5)));
        const targets = this.choose(total, this.random.between(1, most));
        const duration = isLost ? Math.max(lastsMs, REGISTRATION_LASTS_MS) : lastsMs;
        return { kind, atMs, lastsMs: duration, targets, isSilent: this.random.chance(0.5) };
    }

    /** @returns Some of the numbers below a limit, chosen at random. */
    private choose(limit: number, count: number): number[] {
        const numbers = Array.from({ length: limit }, (_, index) => index);
        for (let index = 0; index < count; index++) {
            const other = this.random.between(index, limit - 1);
            [numbers[index], numbers[other]] = [numbers[other], numbers[index]];
        }
        return numbers.slice(0, count);
    }
}
