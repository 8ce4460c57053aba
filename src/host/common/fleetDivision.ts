import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { ShardPlanner } from "../../dispatch/common/shards/shardPlanner";
import { EntryReading, WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { encodeShardPlan, SHARD_PLAN_KEY, ShardPlan } from "../../jobs/common/shardPlan";
import { RecordWriter } from "../../records/common/recordWriter";
import chartText from "./fleetDivision.chart.yaml";

type DivisionState = "undivided" | "storing" | "whole" | "over";
type DivisionEvent = "too-large" | "assigned" | "divided";
type DivisionAction = "storePlan";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<DivisionState, DivisionEvent, never, DivisionAction>(chartText, "fleetDivision.chart.yaml", {
        states: ["undivided", "storing", "whole", "over"],
        events: ["too-large", "assigned", "divided"],
        guards: [],
        actions: ["storePlan"],
    }),
);

/** Time without a further worker after which the fleet counts as complete, in ms: most workers register within one heartbeat. */
const SETTLING_TIME_MS = 1_000;

/** Time for which an instance has led before it divides the fleet, in ms: a stronger one replaces it within that time. */
const MIN_OFFICE_MS = 3_000;

/** Workers by identifier, as read from service discovery. */
export interface RegisteredWorkers {
    readonly size: number;
    readonly all: ReadonlyMap<string, EntryReading>;
}

/** State of the fleet when the leader of the first shard reviews its division. */
export interface DivisionReview {
    readonly now: number;
    /** The registered workers. */
    readonly workers: RegisteredWorkers;
    /** Whether jobs wait. Then the fleet is divided without waiting for further workers. */
    readonly hasJobs: boolean;
    /** Whether a task was assigned to a worker, by this or a former leader. */
    readonly hasAssigned: boolean;
}

/** The leader of the first shard during one epoch. */
export interface DividingLeader {
    readonly epoch: number;
    readonly cores: number;
    readonly writer: RecordWriter;
}

/**
 * Divides a fleet that is too large for one leader. Only a fleet on which no task was ever assigned is divided: its jobs and workers
 * can change their leader without anything to hand over.
 */
export class FleetDivision {
    private readonly machine: Machine<ShardPlan | undefined, DivisionState, DivisionEvent, never, DivisionAction>;
    private workerCount = 0;
    private grewAt: number;

    private constructor(
        private readonly leader: DividingLeader,
        private readonly planner: ShardPlanner,
        private readonly beganAt: number,
    ) {
        this.grewAt = beganAt;
        this.machine = Machine.create(chart, {
            guards: {},
            actions: { storePlan: plan => leader.writer.write(SHARD_PLAN_KEY, () => encodeShardPlan(plan!)) },
        });
    }

    /**
     * @param leader The leader of the first shard.
     * @param planner Decides into how many shards the fleet is divided.
     * @param now Time in ms, at which its epoch begins.
     * @returns The division of a fleet without a plan.
     */
    static create(leader: DividingLeader, planner: ShardPlanner, now: number): FleetDivision {
        return new FleetDivision(leader, planner, now);
    }

    /** Whether the plan is in flight, so that nothing may be assigned. */
    get isStoring(): boolean {
        return this.machine.state === "storing";
    }

    /** Whether it is decided how the fleet is led during this epoch. */
    get isDecided(): boolean {
        return this.machine.state === "whole" || this.machine.state === "over";
    }

    /** Stores a plan if the fleet is complete and too large for one leader. */
    review({ now, workers, hasJobs, hasAssigned }: DivisionReview): void {
        if (hasAssigned) {
            this.machine.fire("assigned", undefined);
            return;
        }
        if (workers.size > this.workerCount) {
            this.grewAt = now;
        }
        this.workerCount = workers.size;
        const isComplete = now - this.grewAt >= SETTLING_TIME_MS && now - this.beganAt >= MIN_OFFICE_MS;
        if (!isComplete && !hasJobs) {
            return;
        }
        const { epoch, cores } = this.leader;
        const count = this.planner.countFor({ workers: workers.size, cores });
        if (count > 1) {
            const entries = [...workers.all.values()].map(({ entry }) => entry);
            this.machine.fire("too-large", { count, racks: assignRacks(entries, count), epoch });
        }
    }

    /** Handles that the plan was read. */
    recordDivided(): void {
        this.machine.fire("divided", undefined);
    }
}

/** A rack with its workers. */
interface Rack {
    readonly name: string;
    readonly failureDomain: string;
    /** CPU of its workers, in thousandths of a core. */
    cpuMillis: number;
}

/** @returns The shard of each rack, so that the shards have as many racks of each failure domain, and as much CPU. */
function assignRacks(workers: readonly WorkerEntry[], count: number): Record<string, number> {
    const shards = Array.from({ length: count }, () => ({ cpuMillis: 0, domains: new Map<string, number>() }));
    const assigned: Record<string, number> = {};
    for (const { name, failureDomain, cpuMillis } of collectRacks(workers)) {
        const racksOf = (shard: number) => shards[shard].domains.get(failureDomain) ?? 0;
        const [shard] = [...shards.keys()].sort(
            (a, b) => racksOf(a) - racksOf(b) || shards[a].cpuMillis - shards[b].cpuMillis,
        );
        assigned[name] = shard;
        shards[shard].cpuMillis += cpuMillis;
        shards[shard].domains.set(failureDomain, racksOf(shard) + 1);
    }
    return assigned;
}

/** @returns The racks of each failure domain, the largest first. */
function collectRacks(workers: readonly WorkerEntry[]): Rack[] {
    const racks = new Map<string, Rack>();
    for (const { rack: name, failureDomain, capacity } of workers) {
        if (name !== "") {
            const rack = racks.get(name) ?? { name, failureDomain, cpuMillis: 0 };
            rack.cpuMillis += capacity.cpuMillis;
            racks.set(name, rack);
        }
    }
    return [...racks.values()].sort(
        (a, b) => compare(a.failureDomain, b.failureDomain) || b.cpuMillis - a.cpuMillis || compare(a.name, b.name),
    );
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
