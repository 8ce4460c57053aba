import { InvariantName, Violation } from "../../base/common/invariants";
import { AttemptOutcome, StartOrder } from "../../services/common/worker";
import { WorkerObserver } from "../../standin/common/simulatedWorker";
import { Capacity } from "../../services/common/instanceList";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";

/** Time after which a leaving worker must get no new work, in ms; the requirement says "few seconds". */
export const LEAVING_GRACE_MS = 8_000;

const ROUNDING_TOLERANCE = 0.01;

interface TaskHistory {
    readonly key: string;
    /** Worker on which the task is running. */
    runningOn: string | undefined;
    readonly attempts: Set<number>;
    starts: number;
    /** Progress at the end of the last attempt. */
    progress: number;
}

/** Resources that one slot of a service occupies on a worker. */
export interface ServiceSlot {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Checks the invariants of execution against the tasks and requests that the workers run. */
export class ExecutionChecker extends WorkerObserver {
    readonly violations: Violation[] = [];
    readonly histories = new Map<string, TaskHistory>();
    private readonly requestRuns = new Map<string, number>();
    private readonly leavingSince = new Map<string, number>();
    private workers: ReadonlyMap<string, SimulatedWorker> = new Map();
    startCount = 0;
    evictionCount = 0;
    doneCount = 0;
    requestCount = 0;

    private constructor(
        private readonly capacity: Capacity,
        private readonly slot: ServiceSlot,
        private readonly isNonIdempotent: (key: string) => boolean,
    ) {
        super();
    }

    /**
     * @param capacity Capacity of each worker.
     * @param slot Resources of one slot of the service.
     * @param isNonIdempotent Returns whether the work with a key must not run twice.
     * @returns A checker without any observations.
     */
    static create(capacity: Capacity, slot: ServiceSlot, isNonIdempotent: (key: string) => boolean): ExecutionChecker {
        return new ExecutionChecker(capacity, slot, isNonIdempotent);
    }

    /** Sets the workers to check. */
    setWorkers(workers: ReadonlyMap<string, SimulatedWorker>): void {
        this.workers = workers;
    }

    /** Called when service discovery lists a worker as leaving. */
    onWorkerLeaving(worker: string): void {
        this.leavingSince.set(worker, performance.now());
    }

    /** Called when service discovery lists a worker as live. */
    onWorkerStaying(worker: string): void {
        this.leavingSince.delete(worker);
    }

    /** @param key Key of a task. @returns How often it was started. */
    startCountOf(key: string): number {
        return this.histories.get(key)?.starts ?? 0;
    }

    /** @param key Key of a request. @returns How often an upstream ran it. */
    runCountOf(key: string): number {
        return this.requestRuns.get(key) ?? 0;
    }

    override onStart(worker: string, order: StartOrder): void {
        this.startCount += 1;
        const key = order.payload;
        const history = this.histories.get(key) ?? {
            key,
            runningOn: undefined,
            attempts: new Set<number>(),
            starts: 0,
            progress: 0,
        };
        this.histories.set(key, history);
        this.check(
            "single-run",
            history.runningOn === undefined,
            `${key} started on ${worker} while running on ${history.runningOn}`,
        );
        this.check(
            "resume-once",
            !history.attempts.has(order.attempt),
            `${key} attempt ${order.attempt} started twice`,
        );
        const progress = order.checkpoint === "" ? 0 : Number(order.checkpoint);
        const hasLostProgress = history.starts > 0 && progress < history.progress - ROUNDING_TOLERANCE;
        this.check(
            "at-most-once",
            !(this.isNonIdempotent(key) && (hasLostProgress || (history.starts > 0 && order.checkpoint === ""))),
            `${key} restarted at progress ${progress} after ${history.progress}`,
        );
        history.runningOn = worker;
        history.attempts.add(order.attempt);
        history.starts += 1;
        this.checkLeaving(worker, `task ${key}`);
        this.checkCapacity(worker);
    }

    override onEnd(_worker: string, order: StartOrder, outcome: AttemptOutcome, progress: number): void {
        const history = this.histories.get(order.payload);
        if (history !== undefined) {
            history.runningOn = undefined;
            history.progress = progress;
        }
        this.evictionCount += outcome === "evicted" ? 1 : 0;
        this.doneCount += outcome === "done" ? 1 : 0;
    }

    /** Called when an upstream starts to run a request. */
    onRequestStarted(key: string, worker: string): void {
        this.requestCount += 1;
        const runs = this.runCountOf(key) + 1;
        this.requestRuns.set(key, runs);
        this.check("at-most-once", runs === 1 || !this.isNonIdempotent(key), `request ${key} ran ${runs} times`);
        this.checkLeaving(worker, `request ${key}`);
        this.checkCapacity(worker);
    }

    /** Records a violation if an invariant does not hold. */
    check(invariant: InvariantName, holds: boolean, detail: string): void {
        if (!holds) {
            this.violations.push({ invariant, detail });
        }
    }

    private checkLeaving(worker: string, work: string): void {
        const leavingSince = this.leavingSince.get(worker) ?? Number.POSITIVE_INFINITY;
        const leavingForMs = performance.now() - leavingSince;
        this.check(
            "no-work-to-leaving",
            leavingForMs <= LEAVING_GRACE_MS,
            `${work} on ${worker}, which has been leaving for ${leavingForMs} ms`,
        );
    }

    private checkCapacity(name: string): void {
        const worker = this.workers.get(name);
        if (worker === undefined) {
            return;
        }
        const { orders, busySlots } = worker;
        const activeRequests = [...busySlots.values()].reduce((sum, each) => sum + each, 0);
        const cpus = orders.reduce((sum, each) => sum + each.cpus, 0) + activeRequests * this.slot.cpus;
        const memory = orders.reduce((sum, each) => sum + each.memoryGb, 0) + activeRequests * this.slot.memoryGb;
        const accelerators = orders.reduce((sum, each) => sum + each.accelerators, 0);
        const { capacity } = this;
        const holds =
            orders.length + activeRequests <= capacity.slots &&
            cpus <= capacity.cpus + ROUNDING_TOLERANCE &&
            memory <= capacity.memoryGb + ROUNDING_TOLERANCE &&
            accelerators <= capacity.accelerators;
        const tasks = orders.map(each => each.payload).join(" ");
        this.check(
            "capacity",
            holds,
            `${name} has ${activeRequests} requests and ${orders.length} tasks (${tasks}), ${cpus} cpus`,
        );
    }
}
