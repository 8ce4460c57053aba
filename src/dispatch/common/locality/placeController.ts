import { TaskGroup } from "../jobs/activeJob";
import { Placer } from "../placement/placer";
import { Run } from "../runs/run";
import { Task } from "../jobs/task";
import { isLongRunning, racksOf } from "../jobs/taskGroups";
import { WorkerContact } from "../workers/workerContact";
import { CpuKind, EndRates } from "./endRates";
import { Estimate, exactly, multipleOf } from "./estimate";
import { EstimateErrors } from "./estimateErrors";
import { costOf, EstimatedCostPolicy } from "./estimatedCostPolicy";
import { PlaceOutlook, PlacePolicy, PlaceReason } from "./placePolicy";
import { PlaceReporter } from "./placeReporter";
import { PlaceWait } from "./placeWait";
import { RackRooms } from "./rackRooms";

/** Waiting tasks of one group. */
export interface NearTasks {
    readonly group: TaskGroup;
    readonly tasks: readonly Task[];
    readonly service: string;
    readonly priority: number;
    readonly isThrottled: boolean;
}

/** A pass over the waiting tasks, as far as places depend on it. */
export interface PlacePass<Tasks extends NearTasks> {
    readonly placer: Placer;
    readonly now: number;
    readonly wallNow: number;
    /** Returns the time until the job of the tasks has to have a run, in ms; `undefined` while it has one. */
    readonly dueMs: (tasks: Tasks) => number | undefined;
}

/** What is done in a pass with the waiting tasks of a group that run fastest on one rack. */
export interface PlaceDecision {
    readonly rack: string;
    /** Whether tasks without room there wait. */
    readonly isWaiting: boolean;
    /** Whether they leave the rack to others that gain more there. */
    readonly leavesRack: boolean;
    readonly reason: PlaceReason;
}

/** Tasks with what they gain by a start on their rack. */
interface Candidate<Tasks extends NearTasks> {
    readonly entry: Tasks;
    readonly work: Estimate;
    readonly slackMs: number;
    readonly allowedMs: number;
    /** What a start on the rack saves their caller, in ms for each core-second of its room. */
    readonly gain: number;
}

/** Tasks that are given the room of a rack, or wait for it. */
interface Claim {
    /** Time until the first of them is expected to get room, in ms. */
    readonly waitMs: number;
    /** CPU of those without room, in thousandths of a core, by its kind. */
    readonly missingMillis: Readonly<Record<CpuKind, number>>;
    readonly tasks: number;
}

const MILLIS_MS_PER_CORE_SECOND = 1e6;

/** How many steps look at all racks in a pass. The others would wait behind them. */
const MAX_RACK_SEARCHES = 40;

/**
 * Decides which tasks that run fastest on one rack start there, which wait for it, and which start elsewhere.
 *
 * Load pattern: many jobs want the same rack. It goes to those whose callers gain most for the room that they take; the
 * next ones wait while that pays, and the others leave the rack to them at once. Tasks of other jobs keep off a rack for which tasks
 * wait, unless they are done by the time the room is needed, or no other worker has room for them.
 */
export class PlaceController {
    private readonly rates = EndRates.create();
    private readonly errors = EstimateErrors.create();
    private readonly reporter = PlaceReporter.create();
    /** Fires for a report on the tasks that run fastest on one rack. */
    readonly onDidReport = this.reporter.onDidReport;
    private readonly waits = new Map<TaskGroup, PlaceWait>();
    private readonly decisions = new Map<TaskGroup, PlaceDecision>();
    private readonly claims = new Map<string, Claim>();
    private rooms = new Map<string, RackRooms>();
    private pass = 0;
    /** Steps that may look at all racks in the rest of the pass. */
    private remainingSearches = 0;

    private constructor(
        private readonly factor: number,
        private readonly policy: PlacePolicy,
    ) {}

    /**
     * @param factor How many times as long tasks take that are not on their rack; 1 if nothing is known of it: then none waits.
     * @param policy Decides how long tasks wait.
     * @returns A controller without measurements.
     */
    static create(factor = 1, policy: PlacePolicy = EstimatedCostPolicy.create()): PlaceController {
        return new PlaceController(factor, policy);
    }

    /** Whether the place of a task matters in this deployment. */
    get isActive(): boolean {
        return this.factor > 1;
    }

    /** Records the end of a run that was done. @param run The run. @param now Time in ms. */
    recordEnd(run: Run, now: number): void {
        if (!this.isActive || run.rack === "") {
            return;
        }
        const { step, job } = run.task;
        this.rates.recordEnd(run.rack, kindOf(step), step.request.cpuMillis, now);
        if (!run.isInherited) {
            const factor = run.place?.kind === "elsewhere" ? this.factor : 1;
            this.errors.record(job.spec.queue.name, step.estimateMs, (now - run.assignedAt) / factor);
        }
    }

    /**
     * Decides for one pass on the tasks that run fastest on one rack.
     * @param waiting All waiting tasks of the pass, without suspected ones.
     * @param pass The pass.
     */
    plan<Tasks extends NearTasks>(waiting: readonly Tasks[], pass: PlacePass<Tasks>): void {
        if (!this.isActive) {
            return;
        }
        this.beginPass();
        const near = waiting.filter(prefersPlace);
        if (near.length > 0) {
            this.rooms = new Map();
            const candidates = near.map(entry => this.candidateOf(entry, pass));
            candidates.sort((a, b) => a.entry.priority - b.entry.priority || b.gain - a.gain);
            candidates.forEach(candidate => this.decide(candidate, pass));
        }
        this.endPass(pass.now);
    }

    /** Ends a pass in which nothing waits. @param now Time in ms. */
    skip(now: number): void {
        if (this.isActive) {
            this.beginPass();
            this.endPass(now);
        }
    }

    private beginPass(): void {
        this.pass += 1;
        this.remainingSearches = MAX_RACK_SEARCHES;
        this.decisions.clear();
        this.claims.clear();
    }

    private endPass(now: number): void {
        this.endWaits(now);
        this.reporter.review(this.waitingSteps, this.waitingByRack(), now);
    }

    /** @returns What the plan of the pass decides for a group, or `undefined` if its place does not matter. */
    decisionOf(group: TaskGroup): PlaceDecision | undefined {
        return this.decisions.get(group);
    }

    /**
     * @param task A task that is placed.
     * @returns Which workers it leaves to others, or `undefined` if it may use all.
     */
    keptFrom(task: Task): ((worker: WorkerContact) => boolean) | undefined {
        if (this.claims.size === 0) {
            return undefined;
        }
        const group = task.job.groupOf(task);
        const decision = this.decisions.get(group);
        const ownRack = decision === undefined || decision.leavesRack ? undefined : decision.rack;
        const meanMs = isLongRunning({ group }) ? Number.POSITIVE_INFINITY : this.workOf(group, [task]).meanMs;
        return ({ entry: { rack } }) => rack !== ownRack && meanMs > (this.claims.get(rack)?.waitMs ?? Infinity);
    }

    /** Records the start of a task. @param task The task. @param run Its run. @param now Time in ms. */
    recordStart(task: Task, run: Run, now: number): void {
        const { step } = task;
        if (!this.isActive || (step.dataRack === undefined && !step.prefersOneRack)) {
            return;
        }
        const group = task.job.groupOf(task);
        const decision = this.decisions.get(group);
        const wait = this.waits.get(group);
        const rack = step.dataRack ?? racksOf(group)[0];
        const isNear = run.rack === rack;
        const reason = decision?.reason ?? "lasting";
        const waitedMs = Math.round(wait?.waitedMs(now) ?? 0);
        run.place = { kind: isNear ? "near" : "elsewhere", reason: isNear ? "room" : reason, waitedMs };
        const { meanMs } = this.workOf(group, [task]);
        this.reporter.recordStart(run.place, (this.factor - 1) * meanMs - waitedMs);
        if (group.tasks.every(each => each.run !== undefined || group.done.has(each.index))) {
            wait?.handlePlaced(now);
            this.waits.delete(group);
        }
    }

    private candidateOf<Tasks extends NearTasks>(entry: Tasks, { wallNow }: PlacePass<Tasks>): Candidate<Tasks> {
        const { group, tasks } = entry;
        const { job, step } = tasks[0];
        const work = this.workOf(group, tasks);
        const restMs = job.remainingMs(group) - step.estimateMs;
        const slackMs = job.isLongRunning ? Number.POSITIVE_INFINITY : job.objectiveMs - wallNow - restMs;
        const allowedMs = job.objectiveMs - job.spec.acceptedAtMs;
        const bounds = { slackMs, allowedMs, floorMs: 0 };
        const savedMs = costOf(multipleOf(work, this.factor), bounds) - costOf(work, bounds);
        const room = (tasks.length * Math.max(1, step.request.cpuMillis) * work.meanMs) / MILLIS_MS_PER_CORE_SECOND;
        return { entry, work, slackMs, allowedMs, gain: savedMs / room };
    }

    private decide<Tasks extends NearTasks>(candidate: Candidate<Tasks>, pass: PlacePass<Tasks>): void {
        const { group, tasks, service } = candidate.entry;
        const { step } = group;
        const rooms = this.roomsOf(service, pass.placer);
        const rack = this.rackFor(candidate.entry, rooms, pass.now);
        if (rack === undefined && this.remainingSearches === 0) {
            this.conclude(group, "", "costly", pass.now);
            return;
        }
        if (rack === undefined || !rooms.hasWorkerFor(rack, step)) {
            this.conclude(group, rack ?? "", "rack-gone", pass.now);
            return;
        }
        const missing = tasks.length - rooms.countPlaces(rack, step, tasks.length);
        const reason = missing === 0 ? "room" : this.reviewWait(candidate, rack, missing, pass);
        if (reason === "room" || reason === "pays") {
            rooms.take(rack, step, tasks.length);
            this.claim(rack, candidate, missing, pass.now);
        }
        this.conclude(group, rack, reason, pass.now);
    }

    private reviewWait<Tasks extends NearTasks>(
        { entry, work, slackMs, allowedMs }: Candidate<Tasks>,
        rack: string,
        missing: number,
        pass: PlacePass<Tasks>,
    ): PlaceReason {
        const { group } = entry;
        const { now } = pass;
        const known = this.waits.get(group);
        if (known?.givenUpFor !== undefined) {
            return known.givenUpFor;
        }
        const runs = group.tasks.flatMap(({ run }) => run ?? []);
        const elsewhere = runs.filter(run => run.rack !== "" && run.rack !== rack);
        if (group.step.prefersOneRack && elsewhere.length > 0) {
            // It runs on several racks, so all of its tasks are slow already.
            return "costly";
        }
        const endsMs = elsewhere.map(run => run.assignedAt + this.factor * work.meanMs - now);
        const outlook: PlaceOutlook = {
            work,
            factor: this.factor,
            wait: this.waitFor(rack, group, missing, now),
            waitedMs: known?.waitedMs(now) ?? 0,
            slackMs,
            allowedMs,
            dueMs: pass.dueMs(entry) ?? Number.POSITIVE_INFINITY,
            floorMs: Math.max(0, ...endsMs),
        };
        return this.policy.review(outlook);
    }

    /** @returns Time until a rack has room for further tasks, after those that wait for it already. */
    private waitFor(rack: string, { step }: TaskGroup, missing: number, now: number): Estimate | undefined {
        const cpuMillis = Math.max(1, step.request.cpuMillis);
        const kind = kindOf(step);
        const ahead = (this.claims.get(rack)?.missingMillis[kind] ?? 0) / cpuMillis;
        return this.rates.waitFor(rack, kind, cpuMillis, ahead + missing, now);
    }

    private claim<Tasks extends NearTasks>(
        rack: string,
        { entry: { group, tasks } }: Candidate<Tasks>,
        missing: number,
        now: number,
    ): void {
        const known = this.claims.get(rack);
        const kind = kindOf(group.step);
        const missingMillis = { reserved: 0, spare: 0, ...known?.missingMillis };
        const firstMs = missing < tasks.length ? 0 : (this.waitFor(rack, group, 1, now)?.meanMs ?? 0);
        missingMillis[kind] += missing * group.step.request.cpuMillis;
        const waitMs = Math.min(known?.waitMs ?? Number.POSITIVE_INFINITY, firstMs);
        this.claims.set(rack, { waitMs, missingMillis, tasks: (known?.tasks ?? 0) + missing });
    }

    private conclude(group: TaskGroup, rack: string, reason: PlaceReason, now: number): void {
        const isWaiting = reason === "pays";
        const isNear = isWaiting || reason === "room";
        this.decisions.set(group, { rack, isWaiting, leavesRack: !isNear && this.claims.has(rack), reason });
        const known = this.waits.get(group);
        if (known === undefined && !isWaiting) {
            return;
        }
        const wait = known ?? PlaceWait.create(rack, now, end => this.reporter.recordWait(end));
        wait.pass = this.pass;
        this.waits.set(group, wait);
        if (!isNear) {
            wait.stop(reason, now);
        }
    }

    /** @returns The rack on which the tasks run fastest; for those that only want one rack for all, that with the most room. */
    private rackFor({ group, tasks }: NearTasks, rooms: RackRooms, now: number): string | undefined {
        const { step } = group;
        if (!step.prefersOneRack) {
            return step.dataRack;
        }
        const fixed = step.dataRack ?? racksOf(group)[0];
        if (fixed !== undefined) {
            return fixed;
        }
        if (this.remainingSearches === 0) {
            return undefined;
        }
        this.remainingSearches -= 1;
        const awaited = this.waits.get(group)?.rack;
        let best: string | undefined;
        let leastMs = Number.POSITIVE_INFINITY;
        for (const rack of rooms.racks) {
            const missing = tasks.length - rooms.countPlaces(rack, step, tasks.length);
            const waitMs = missing === 0 ? 0 : (this.waitFor(rack, group, missing, now)?.meanMs ?? Infinity);
            const isBetter = waitMs < leastMs || (waitMs === leastMs && rack === awaited);
            if (rooms.hasWorkerFor(rack, step) && (best === undefined || isBetter)) {
                best = rack;
                leastMs = waitMs;
            }
        }
        return best;
    }

    private workOf({ step }: TaskGroup, [{ job }]: readonly Task[]): Estimate {
        return this.isActive ? this.errors.workOf(job.spec.queue.name, step.estimateMs) : exactly(step.estimateMs);
    }

    private roomsOf(service: string, placer: Placer): RackRooms {
        const known = this.rooms.get(service);
        if (known !== undefined) {
            return known;
        }
        const rooms = RackRooms.create(placer.workersOf(service), worker => placer.freeCapacityOf(worker));
        this.rooms.set(service, rooms);
        return rooms;
    }

    /** Ends the waits of groups that do not wait any more: their tasks have runs, or their jobs have ended. */
    private endWaits(now: number): void {
        for (const [group, wait] of this.waits) {
            if (wait.pass !== this.pass) {
                wait.drop(now);
                this.waits.delete(group);
            }
        }
    }

    private get waitingSteps(): number {
        return [...this.decisions.values()].filter(({ isWaiting }) => isWaiting).length;
    }

    private waitingByRack(): ReadonlyMap<string, number> {
        return new Map([...this.claims].filter(([, { tasks }]) => tasks > 0).map(([rack, { tasks }]) => [rack, tasks]));
    }
}

function prefersPlace({ group, isThrottled }: NearTasks): boolean {
    const { dataRack, prefersOneRack } = group.step;
    return (dataRack !== undefined || prefersOneRack) && !isThrottled && !isLongRunning({ group });
}

function kindOf({ usesSpareCpu }: { readonly usesSpareCpu: boolean }): CpuKind {
    return usesSpareCpu ? "spare" : "reserved";
}
