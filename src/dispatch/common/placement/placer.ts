import { StepSpec, TaskRequest } from "../../../jobs/common/jobSpec";
import { CapacityBounds } from "./capacityBounds";
import { LatencyModel } from "./latencyModel";
import { ReservedPolicy } from "./reservedPolicy";
import { BestEffortPolicy } from "./bestEffortPolicy";
import { Run } from "../runs/run";
import { Task } from "../jobs/task";
import { PlacementOffer, PlacementPolicy, SpeedLimit } from "./placementPolicy";
import { RejectionTable } from "./rejectionTable";
import { ANY_WORKER_PERCENT } from "../waits/waitPolicy";
import { FreeCapacity, WorkerContact } from "../workers/workerContact";
import { forecastFor, WorkerForecast } from "../workers/workerForecast";

/** Cost of each percent of speed that a task cannot have on a worker, in thousandths of a core; it exceeds all other costs. */
const COST_PER_PERCENT_MILLIS = 1e9;

/** Loss of speed, in percent, to which a worker is equal that is closed below full speed: it comes after all others. */
const CLOSED_PENALTY_PERCENT = 101;

/**
 * What keeps a worker from running a task at full speed: the service or the label, too little free capacity, what limits its speed,
 * or a limit per worker or an earlier failure of the task itself.
 */
export type Obstacle = "otherKind" | "noRoom" | SpeedLimit | "ownLimit";

/** What a worker lacks for a task: it is of another kind, or of CPU or memory, or only a limit or failure of the task itself is in the way. */
export type Shortage = "otherKind" | "lacksCpu" | "lacksMemory" | "lacksBoth" | "ownLimit" | "hasRoom";

/** Resources for which a task waits on a worker until other runs end. */
const RELEASED_RESOURCES = ["cpuMillis", "memoryMb"] as const;
type ReleasedResource = (typeof RELEASED_RESOURCES)[number];

/** A worker that is kept for a task, and what the task lacks there until further runs end. */
export interface HeldRoom {
    readonly worker: WorkerContact;
    readonly missing: Readonly<Record<ReleasedResource, number>>;
}

const NO_OBSTACLES: Readonly<Record<Obstacle, number>> = {
    otherKind: 0,
    noRoom: 0,
    noHeadroom: 0,
    interference: 0,
    noSpareCpu: 0,
    ownLimit: 0,
};

/** A worker that was chosen for a task. */
export interface PlacementChoice {
    readonly worker: WorkerContact;
    /** Speed at which the task may run there, in percent of full speed. */
    readonly speedPercent: number;
}

/** Offers for one step, by position of the worker in the placer. */
interface StepOffers {
    /** Version of the worker's forecast with which the offer was computed; 0 before. */
    readonly versions: number[];
    /** `undefined` where the step does not fit. */
    readonly offers: (PlacementOffer | undefined)[];
}

/**
 * Chooses workers for the tasks of one scheduling pass. Each placement reduces the free capacity for later tasks. The
 * tasks of a step are alike, so the offer of a worker is computed once per step, and again only after something was
 * placed on that worker.
 */
export class Placer {
    /** Forecasts by position of the worker, as far as they are known. */
    private readonly forecasts: (WorkerForecast | undefined)[] = [];
    private readonly positions: ReadonlyMap<WorkerContact, number>;
    /** Versions of the forecasts. */
    private readonly versions: number[];
    private readonly reservedBounds: CapacityBounds;
    private readonly bestEffortBounds: CapacityBounds;
    private readonly stepOffers = new Map<StepSpec, StepOffers>();
    /** What `choose` searched for last, and whether any worker was suitable. */
    private lastSearch: { step: StepSpec; service: string; minSpeedPercent: number; hasSuitable: boolean } | undefined;
    /** Steps of best-effort tasks for which no worker was suitable in this pass. */
    private readonly rejections = RejectionTable.create();

    private constructor(
        private readonly workers: readonly WorkerContact[],
        private readonly reservedPolicy: PlacementPolicy,
        private readonly bestEffortPolicy: PlacementPolicy,
        private readonly model: LatencyModel,
    ) {
        this.positions = new Map(workers.map((worker, position) => [worker, position]));
        this.versions = workers.map(() => 1);
        const forecastAt = (position: number) => this.forecastAt(position);
        this.reservedBounds = CapacityBounds.create(reservedPolicy, workers, this.versions, forecastAt);
        this.bestEffortBounds = CapacityBounds.create(bestEffortPolicy, workers, this.versions, forecastAt);
    }

    /**
     * @param workers Usable workers.
     * @param model Estimates the interference between images.
     * @returns A placer for one pass.
     */
    static create(workers: readonly WorkerContact[], model: LatencyModel): Placer {
        return new Placer(workers, ReservedPolicy.create(), BestEffortPolicy.create(model), model);
    }

    /**
     * @param task A waiting task.
     * @param service Service whose workers may run it.
     * @param isAllowed Additional constraint on the worker.
     * @param minSpeedPercent Lowest speed at which it may run, in percent of full speed, or `ANY_WORKER_PERCENT`.
     * @returns The worker on which it runs fastest; of several, the one with the lowest cost. `undefined` if the task has to wait.
     */
    choose(
        task: Task,
        service: string,
        isAllowed: (worker: WorkerContact) => boolean = () => true,
        minSpeedPercent = 100,
    ): PlacementChoice | undefined {
        let best: PlacementChoice | undefined;
        let bestRank = Number.POSITIVE_INFINITY;
        let hasSuitable = false;
        this.visitSufficient(task, service, minSpeedPercent, (worker, offer) => {
            hasSuitable = true;
            const rank = offer.cost + lostSpeedPercent(offer) * COST_PER_PERCENT_MILLIS;
            if (rank < bestRank && isAcceptable(task, worker) && isAllowed(worker)) {
                best = { worker, speedPercent: offer.speedPercent };
                bestRank = rank;
            }
            return true;
        });
        this.lastSearch = { step: task.step, service, minSpeedPercent, hasSuitable };
        return best;
    }

    /**
     * @param task A waiting task.
     * @param service Service whose workers may run it.
     * @param minSpeedPercent Lowest speed at which it may run, in percent of full speed.
     * @returns Whether no worker was suitable for a best-effort task that needs no more than this one, so that another
     * search is useless.
     */
    isInfeasible(task: Task, service: string, minSpeedPercent = 100): boolean {
        return task.step.usesSpareCpu && this.rejections.covers(task.step, service, minSpeedPercent);
    }

    /** @returns Whether the latest search was for the step of a task, and no worker was suitable whatever the constraint on it. */
    hasJustFailed({ step }: Task, service: string, minSpeedPercent = 100): boolean {
        const last = this.lastSearch;
        const isSame = last?.step === step && last.service === service && last.minSpeedPercent === minSpeedPercent;
        return isSame && !last.hasSuitable;
    }

    /**
     * Records that `choose` found no worker for a task. Only best-effort tasks count, and only if no worker was suitable:
     * a limit per worker or an earlier failure of this task says nothing about the tasks of other steps.
     */
    recordRejection(task: Task, service: string, minSpeedPercent = 100): void {
        if (task.step.usesSpareCpu && !this.hasSuitable(task, service, minSpeedPercent)) {
            this.rejections.add(task.step, service, minSpeedPercent);
        }
    }

    private hasSuitable(task: Task, service: string, minSpeedPercent: number): boolean {
        const { lastSearch } = this;
        const isSame = lastSearch?.step === task.step && lastSearch.service === service;
        return isSame && lastSearch.minSpeedPercent === minSpeedPercent
            ? lastSearch.hasSuitable
            : !this.visitSufficient(task, service, minSpeedPercent, () => false);
    }

    /** Number of usable workers. */
    get workerCount(): number {
        return this.workers.length;
    }

    /** @returns Number of workers by what keeps them from running a task at full speed. */
    countObstacles(task: Task, service: string): Record<Obstacle, number> {
        const counts = { ...NO_OBSTACLES };
        const offers = this.currentOffers(task, service);
        this.workers.forEach((worker, position) => {
            const obstacle = this.obstacle(task, service, worker, offers[position]);
            if (obstacle !== undefined) {
                counts[obstacle] += 1;
            }
        });
        return counts;
    }

    /** @returns Number of workers by what they lack for a task. */
    countShortages(task: Task, service: string): Partial<Record<Shortage, number>> {
        const counts: Partial<Record<Shortage, number>> = {};
        this.workers.forEach((worker, position) => {
            const shortage = this.shortage(task, service, worker, position);
            counts[shortage] = (counts[shortage] ?? 0) + 1;
        });
        return counts;
    }

    private shortage(task: Task, service: string, worker: WorkerContact, position: number): Shortage {
        const { request, usesSpareCpu } = task.step;
        const { cpuMillis, memoryMb } = this.forecastAt(position).freeCapacity;
        const lacksCpu = !usesSpareCpu && request.cpuMillis > cpuMillis;
        const lacksMemory = request.memoryMb > memoryMb;
        if (!isOfKind(task.step, service, worker)) {
            return "otherKind";
        }
        if (lacksCpu || lacksMemory) {
            return lacksCpu && lacksMemory ? "lacksBoth" : lacksCpu ? "lacksCpu" : "lacksMemory";
        }
        return isAcceptable(task, worker) ? "hasRoom" : "ownLimit";
    }

    /**
     * @param task A waiting task.
     * @param service Service whose workers may run it.
     * @param now Time in ms.
     * @returns Age of the oldest estimate of interference that keeps it below full speed on a worker, in ms, or `undefined` if
     * there is none with reports.
     */
    oldestEstimateMs(task: Task, service: string, now: number): number | undefined {
        const offers = this.currentOffers(task, service);
        const ages = this.workers
            .flatMap((_, position) =>
                offers[position]?.limit === "interference" ? this.forecastAt(position).latencyCritical : [],
            )
            .map(each => this.model.estimateAgeMs(each.image, task.step.image, now))
            .filter(age => age !== undefined);
        return ages.length === 0 ? undefined : Math.round(Math.max(...ages));
    }

    /**
     * Chooses workers for tasks that have to start together.
     * @param tasks The tasks.
     * @param service Service whose workers may run them.
     * @param isAllowed Additional constraint on the workers.
     * @param minSpeedPercent Lowest speed at which they may run, in percent of full speed.
     * @returns A worker for each task, or `undefined` if not all can be placed.
     */
    chooseAll(
        tasks: readonly Task[],
        service: string,
        isAllowed: (worker: WorkerContact) => boolean = () => true,
        minSpeedPercent = 100,
    ): PlacementChoice[] | undefined {
        const chosen: PlacementChoice[] = [];
        const counts = new Map<WorkerContact, number>();
        for (const task of tasks) {
            const { maxPerWorker } = task.step;
            const choice = this.choose(
                task,
                service,
                each => isAllowed(each) && (maxPerWorker === undefined || (counts.get(each) ?? 0) < maxPerWorker),
                minSpeedPercent,
            );
            if (choice === undefined) {
                chosen.forEach(each => this.invalidate(each.worker));
                return undefined;
            }
            chosen.push(choice);
            counts.set(choice.worker, (counts.get(choice.worker) ?? 0) + 1);
            this.reserve(task, choice.worker);
        }
        return chosen;
    }

    /** @returns Whether a task has to wait only for CPU on one of the allowed workers. */
    lacksOnlyCpu(task: Task, service: string, isAllowed: (worker: WorkerContact) => boolean): boolean {
        const { step } = task;
        return this.workers.some(
            (worker, position) =>
                isOfKind(step, service, worker) &&
                worker.fits(step.request, true, this.forecastAt(position).freeCapacity) &&
                isAllowed(worker),
        );
    }

    /** @returns Whether a worker has room for two such tasks. */
    hasRoomTwice({ step }: Task, worker: WorkerContact): boolean {
        const { cpuMillis, memoryMb } = this.forecastAt(this.positions.get(worker)!).freeCapacity;
        return step.request.cpuMillis * 2 <= cpuMillis && step.request.memoryMb * 2 <= memoryMb;
    }

    /** @param service A service. @returns Its usable workers. */
    workersOf(service: string): WorkerContact[] {
        return this.workers.filter(({ entry }) => entry.service === service);
    }

    /** @returns What a usable worker has left for further tasks of the pass. */
    freeCapacityOf(worker: WorkerContact): FreeCapacity {
        return this.forecastAt(this.positions.get(worker)!).freeCapacity;
    }

    /** @param service A service. @returns Racks of its usable workers. */
    racks(service: string): string[] {
        const racks = this.workers.filter(each => each.entry.service === service).map(each => each.entry.rack);
        return [...new Set(racks)];
    }

    /** Discards the forecast and the costs of a worker after something was placed on it. */
    invalidate(worker: WorkerContact): void {
        const position = this.positions.get(worker)!;
        this.update(position, undefined);
    }

    /**
     * Visits the workers with a sufficient offer, in their order, until the visitor returns false.
     * @returns Whether all of them were visited.
     */
    private visitSufficient(
        task: Task,
        service: string,
        minSpeedPercent: number,
        visit: (worker: WorkerContact, offer: PlacementOffer) => boolean,
    ): boolean {
        const { step } = task;
        const bounds = step.usesSpareCpu ? this.bestEffortBounds : this.reservedBounds;
        const kind = bounds.boundsOf(step);
        const next = (from: number) => bounds.next(kind, step, minSpeedPercent, from);
        for (let position = next(0); position < this.workers.length; position = next(position + 1)) {
            const offer = this.offerAt(position, task, service);
            if (isSufficient(offer, minSpeedPercent) && !visit(this.workers[position], offer)) {
                return false;
            }
        }
        return true;
    }

    /** @returns The offers of all workers for a step. */
    private currentOffers(task: Task, service: string): readonly (PlacementOffer | undefined)[] {
        return this.workers.map((_, position) => this.offerAt(position, task, service));
    }

    private offerAt(position: number, task: Task, service: string): PlacementOffer | undefined {
        const { versions, offers } = this.offersOf(task.step);
        if (versions[position] !== this.versions[position]) {
            versions[position] = this.versions[position];
            offers[position] = this.offer(task, service, position);
        }
        return offers[position];
    }

    private offersOf(step: StepSpec): StepOffers {
        const known = this.stepOffers.get(step);
        if (known !== undefined) {
            return known;
        }
        const offers = { versions: this.workers.map(() => 0), offers: [] };
        this.stepOffers.set(step, offers);
        return offers;
    }

    private obstacle(
        task: Task,
        service: string,
        worker: WorkerContact,
        offer: PlacementOffer | undefined,
    ): Obstacle | undefined {
        if (!isOfKind(task.step, service, worker)) {
            return "otherKind";
        }
        if (offer === undefined) {
            return "noRoom";
        }
        return offer.limit ?? (isAcceptable(task, worker) ? undefined : "ownLimit");
    }

    /** @returns The offer of a worker, or `undefined` if the task does not fit there. */
    private offer(task: Task, service: string, position: number): PlacementOffer | undefined {
        const { step } = task;
        const worker = this.workers[position];
        const forecast = this.forecastAt(position);
        const isEligible =
            isOfKind(step, service, worker) && worker.fits(step.request, step.usesSpareCpu, forecast.freeCapacity);
        if (!isEligible) {
            return undefined;
        }
        return (step.usesSpareCpu ? this.bestEffortPolicy : this.reservedPolicy).assess(task, worker, forecast);
    }

    /** Takes what a task needs out of the free capacity of a worker for the rest of the pass. */
    reserve(task: Task, worker: WorkerContact): void {
        const { request, usesSpareCpu } = task.step;
        const position = this.positions.get(worker)!;
        const { freeCapacity, latencyCritical } = this.forecastAt(position);
        this.update(position, {
            latencyCritical,
            freeCapacity: {
                cpuMillis: freeCapacity.cpuMillis - (usesSpareCpu ? 0 : request.cpuMillis),
                memoryMb: freeCapacity.memoryMb - request.memoryMb,
                accelerators: freeCapacity.accelerators - request.accelerators,
                unrequestedCpuMillis: freeCapacity.unrequestedCpuMillis - request.cpuMillis,
            },
        });
    }

    /**
     * Keeps the worker that soonest has room for a task from other tasks for the rest of the pass: of those on which the runs that end
     * by themselves leave enough, the one that lacks the least.
     * @param task A task that has to run soon and for which no worker has room.
     * @param service Service whose workers may run it.
     * @param mayHoldCpu Whether it is also kept from tasks with reserved CPU; otherwise only a worker that lacks just memory is kept.
     * @returns The worker, or `undefined` if none is kept.
     */
    holdRoom(task: Task, service: string, mayHoldCpu: boolean): HeldRoom | undefined {
        const { request } = task.step;
        let best: HeldRoom | undefined;
        let leastRatio = Number.POSITIVE_INFINITY;
        this.workers.forEach((worker, position) => {
            const missing = this.missingRoom(task.step, worker, position, mayHoldCpu);
            const ratio = Math.max(...RELEASED_RESOURCES.map(each => (missing?.[each] ?? Infinity) / request[each]));
            if (
                missing !== undefined &&
                ratio < leastRatio &&
                isOfKind(task.step, service, worker) &&
                isAcceptable(task, worker)
            ) {
                best = { worker, missing };
                leastRatio = ratio;
            }
        });
        if (best !== undefined) {
            this.reserve(task, best.worker);
        }
        return best;
    }

    /**
     * @returns What a worker lacks for a step beyond what runs that are being stopped leave. `undefined` if it lacks nothing, and only
     * other reasons keep the task from it, or if its short runs do not leave as much when they end.
     */
    private missingRoom(
        { request }: StepSpec,
        worker: WorkerContact,
        position: number,
        mayHoldCpu: boolean,
    ): HeldRoom["missing"] | undefined {
        const { freeCapacity } = this.forecastAt(position);
        const missing = (resource: keyof TaskRequest) => Math.max(0, request[resource] - freeCapacity[resource]);
        const lacking = RELEASED_RESOURCES.filter(each => missing(each) > 0);
        const isExcluded = missing("accelerators") > 0 || (missing("cpuMillis") > 0 && !mayHoldCpu);
        const isEnough = lacking.every(each => missing(each) <= heldByRuns(worker, each, isShort));
        if (lacking.length === 0 || isExcluded || !isEnough) {
            return undefined;
        }
        const left = (resource: ReleasedResource) =>
            Math.max(0, missing(resource) - heldByRuns(worker, resource, run => run.isEnding));
        return { cpuMillis: left("cpuMillis"), memoryMb: left("memoryMb") };
    }

    private update(position: number, forecast: WorkerForecast | undefined): void {
        this.forecasts[position] = forecast;
        this.versions[position] += 1;
        this.lastSearch = undefined;
    }

    private forecastAt(position: number): WorkerForecast {
        const forecast = this.forecasts[position] ?? forecastFor(this.workers[position], this.model);
        this.forecasts[position] = forecast;
        return forecast;
    }
}

function isSufficient(offer: PlacementOffer | undefined, minSpeedPercent: number): offer is PlacementOffer {
    return (
        offer !== undefined &&
        (offer.limit === undefined ||
            minSpeedPercent === ANY_WORKER_PERCENT ||
            (offer.isOpenBelowFullSpeed && offer.speedPercent >= minSpeedPercent))
    );
}

function lostSpeedPercent({ limit, speedPercent, isOpenBelowFullSpeed }: PlacementOffer): number {
    return limit === undefined || isOpenBelowFullSpeed
        ? 100 - speedPercent
        : CLOSED_PENALTY_PERCENT + 100 - speedPercent;
}

/** @returns Whether a worker has the service and the label that all tasks of a step require. */
function isOfKind(step: StepSpec, service: string, worker: WorkerContact): boolean {
    return worker.entry.service === service && worker.hasLabel(step.requiredLabel);
}

/** @returns Whether a worker meets the constraints that vary between tasks of a step or change with placements. */
function isAcceptable(task: Task, worker: WorkerContact): boolean {
    const { maxPerWorker } = task.step;
    return (
        (maxPerWorker === undefined || countOfStep(task, worker) < maxPerWorker) && !task.failedOn.has(worker.entry.id)
    );
}

function countOfStep(task: Task, worker: WorkerContact): number {
    let count = 0;
    for (const run of worker.runs.values()) {
        count += run.task.job === task.job && run.task.groupKey === task.groupKey ? 1 : 0;
    }
    return count;
}

/** Whether a run ends by itself. */
function isShort({ task }: Run): boolean {
    return task.step.mode !== "long-running";
}

/** @returns How much of a resource is held on a worker by the runs that a predicate names. */
function heldByRuns(worker: WorkerContact, resource: ReleasedResource, isCounted: (run: Run) => boolean): number {
    let held = 0;
    for (const run of worker.runs.values()) {
        const { request, usesSpareCpu } = run.task.step;
        const isHeld = isCounted(run) && (resource !== "cpuMillis" || !usesSpareCpu);
        held += isHeld ? request[resource] : 0;
    }
    return held;
}
