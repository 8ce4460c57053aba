import { MAX_LEADER_DELAY_MS } from "../scheduler/dispatchLimits";
import { JobDemand } from "../jobs/jobDemand";
import { ShardOption, TaskOption, TaskTransferRequest, TransferPolicy, TransferRequest } from "./transferPolicy";

/** How jobs of one kind are transferred. Pressures are shares of the CPU, memory or accelerators of a service in a shard. */
interface TransferTerms {
    /** Pressure of its shard from which on a job that has just been submitted is transferred. */
    readonly minPressure: number;
    /** How much lower the pressure of the other shard is at least. */
    readonly minGain: number;
    /** Time for which a job waits before it is transferred later, in ms. */
    readonly minWaitMs: number;
}

/** Jobs that last stay for minutes, so they are spread while there is room for all. */
const LONG_RUNNING_TERMS: TransferTerms = { minPressure: 0, minGain: 0.02, minWaitMs: 1_000 };

/** Short tasks with reserved CPU start at once while there is room, and a transfer costs them a round trip to the store. */
const RESERVED_TERMS: TransferTerms = { minPressure: 0.85, minGain: 0.05, minWaitMs: 500 };

/** Best-effort tasks wait for a worker on which they run fast. */
const BEST_EFFORT_TERMS: TransferTerms = { minPressure: 0.9, minGain: 0.1, minWaitMs: 1_500 };

/** Pressure that a shard without the rack that holds a job's data counts as having more. */
const REMOTE_DATA_PRESSURE = 0.2;

/** Time for which a task waits before it is transferred, in ms: its shard has placed those by then for which it has room. */
const MIN_TASK_WAIT_MS = 800;

/** The same if its shard seems to have a place, in ms: something else keeps the task from it. */
const LONG_TASK_WAIT_MS = 2_500;

/** Number of places from which on a shard has room for a task: another leader may fill one of them. */
const MIN_PLACES = 2;

/** Transfers a job to the shard with the most room if its own has much less. */
export class RoomTransferPolicy extends TransferPolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): RoomTransferPolicy {
        return new RoomTransferPolicy();
    }

    override choose(
        { demand, waitedMs }: TransferRequest,
        own: ShardOption,
        others: readonly ShardOption[],
    ): ShardOption | undefined {
        const maxDelayMs = Math.max(own.delayMs, MAX_LEADER_DELAY_MS);
        const pressure = (option: ShardOption) => pressureOf(option, demand);
        // If the steps need workers of several shards, the job goes from one to the other between them.
        const hasSuitable = [own, ...others].some(each => each.isSuitable);
        const isSuitable = (option: ShardOption) => (hasSuitable ? option.isSuitable : option.canStart);
        const [best] = others
            .filter(each => isSuitable(each) && (each.delayMs <= maxDelayMs || !isSuitable(own)))
            .sort((a, b) => pressure(a) - pressure(b));
        if (best === undefined || !isSuitable(own)) {
            return best;
        }
        const { minPressure, minGain, minWaitMs } = termsOf(demand);
        const isDue = waitedMs === undefined ? pressure(own) >= minPressure : waitedMs >= minWaitMs;
        return isDue && pressure(own) - pressure(best) >= minGain ? best : undefined;
    }

    override chooseForTask(
        { waitedMs, isStaying }: TaskTransferRequest,
        own: TaskOption,
        others: readonly TaskOption[],
    ): TaskOption | undefined {
        const isNeeded = own.places === 0;
        if (waitedMs < (isNeeded ? MIN_TASK_WAIT_MS : LONG_TASK_WAIT_MS) || (isStaying && !isNeeded)) {
            return undefined;
        }
        const maxDelayMs = Math.max(own.delayMs, MAX_LEADER_DELAY_MS);
        const inTime = others.filter(each => each.delayMs <= maxDelayMs);
        const best = withMostPlaces(inTime);
        if (best !== undefined || waitedMs < LONG_TASK_WAIT_MS) {
            return best;
        }
        // A late leader starts the task sooner than one that has no place for it.
        const late = isNeeded ? withMostPlaces(others) : undefined;
        if (late !== undefined || isStaying) {
            return late;
        }
        // Where short tasks take the gaps as they come, none is seen as a place, and the next one is its own.
        const rivals = (option: TaskOption) => option.rivals ?? Number.POSITIVE_INFINITY;
        const [least] = inTime.sort((a, b) => rivals(a) - rivals(b));
        return least !== undefined && rivals(least) < rivals(own) ? least : undefined;
    }
}

/** @returns The shard with the most places, if it has room for the task. */
function withMostPlaces(options: readonly TaskOption[]): TaskOption | undefined {
    const [best] = options.filter(each => each.places >= MIN_PLACES).sort((a, b) => b.places - a.places);
    return best;
}

function termsOf({ isLongRunning, spareCpuMillis }: JobDemand): TransferTerms {
    if (isLongRunning) {
        return LONG_RUNNING_TERMS;
    }
    return spareCpuMillis > 0 ? BEST_EFFORT_TERMS : RESERVED_TERMS;
}

/**
 * @returns What the tasks of a service and of the job request together, as a share of what it has: of the resource of which most is
 * requested. Best-effort tasks use the CPU that others leave.
 */
function pressureOf({ load, hasData }: ShardOption, demand: JobDemand): number {
    const reserved = load.usedCpuMillis + load.waitingCpuMillis + demand.cpuMillis;
    const spare = load.spareCpuMillis + load.waitingSpareCpuMillis + demand.spareCpuMillis;
    const cpu = shareOf(demand.spareCpuMillis > 0 ? reserved + spare : reserved, load.cpuMillis);
    const memory = shareOf(load.usedMemoryMb + load.waitingMemoryMb + demand.memoryMb, load.memoryMb);
    const requested = load.usedAccelerators + load.waitingAccelerators + demand.accelerators;
    const accelerators = demand.accelerators === 0 ? 0 : shareOf(requested, load.accelerators);
    return Math.max(cpu, memory, accelerators) + (hasData ? 0 : REMOTE_DATA_PRESSURE);
}

function shareOf(requested: number, capacity: number): number {
    return requested / Math.max(1, capacity);
}
