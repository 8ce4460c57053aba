import { InvariantName, Violation } from "../../base/common/invariant";
import { AttemptOutcome, StartOrder } from "../../services/common/worker";
import { WorkerObserver } from "../../standin/common/simulatedWorker";
import { Capacity } from "../../services/common/instanceList";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";

/** Time after which a leaving worker gets no new work, in ms: the stated "few seconds". */
export const LEAVING_GRACE_MS = 8_000;

const ROUNDING = 0.01;

interface TaskHistory {
    readonly key: string;
    /** Worker on which it is running now. */
    running: string | undefined;
    readonly attempts: Set<number>;
    starts: number;
    /** Progress that the last end left behind. */
    progress: number;
}

/** What one slot of a service takes from a worker. */
export interface SlotSize {
    readonly cpus: number;
    readonly memoryGb: number;
}

/** Watches the workers from outside, and tells when a promise of the system is broken. */
export class Witness extends WorkerObserver {
    readonly violations: Violation[] = [];
    readonly tasks = new Map<string, TaskHistory>();
    private readonly requests = new Map<string, number>();
    private readonly leavingSince = new Map<string, number>();
    private workers: ReadonlyMap<string, SimulatedWorker> = new Map();
    startCount = 0;
    evictionCount = 0;
    doneCount = 0;
    requestCount = 0;

    private constructor(
        private readonly capacity: Capacity,
        private readonly slot: SlotSize,
        private readonly nonIdempotent: (key: string) => boolean,
    ) {
        super();
    }

    /**
     * @param capacity Capacity of each worker.
     * @param slot What one slot of a service takes.
     * @param nonIdempotent Tells whether work with a key must not run twice.
     * @returns A witness that has seen nothing.
     */
    static create(capacity: Capacity, slot: SlotSize, nonIdempotent: (key: string) => boolean): Witness {
        return new Witness(capacity, slot, nonIdempotent);
    }

    /** Sets the workers that are watched. */
    watch(workers: ReadonlyMap<string, SimulatedWorker>): void {
        this.workers = workers;
    }

    /** Notes that the platform lists a worker as leaving. */
    leaving(worker: string): void {
        this.leavingSince.set(worker, performance.now());
    }

    /** Notes that the platform lists a worker as live. */
    staying(worker: string): void {
        this.leavingSince.delete(worker);
    }

    /** @param key Key of a task. @returns How often it was started. */
    startsOf(key: string): number {
        return this.tasks.get(key)?.starts ?? 0;
    }

    /** @param key Key of a request. @returns How often an upstream ran it. */
    runsOf(key: string): number {
        return this.requests.get(key) ?? 0;
    }

    override started(worker: string, order: StartOrder): void {
        this.startCount += 1;
        const key = order.payload;
        const history = this.tasks.get(key) ?? {
            key,
            running: undefined,
            attempts: new Set<number>(),
            starts: 0,
            progress: 0,
        };
        this.tasks.set(key, history);
        this.check(
            "single-run",
            history.running === undefined,
            `${key} started on ${worker} while it runs on ${history.running}`,
        );
        this.check(
            "resume-once",
            !history.attempts.has(order.attempt),
            `${key} attempt ${order.attempt} started twice`,
        );
        const progress = order.checkpoint === "" ? 0 : Number(order.checkpoint);
        const repeats = history.starts > 0 && progress < history.progress - ROUNDING;
        this.check(
            "at-most-once",
            !(this.nonIdempotent(key) && (repeats || (history.starts > 0 && order.checkpoint === ""))),
            `${key} starts again at ${progress} after ${history.progress}`,
        );
        history.running = worker;
        history.attempts.add(order.attempt);
        history.starts += 1;
        this.checkLeaving(worker, `task ${key}`);
        this.checkCapacity(worker);
    }

    override ended(_worker: string, order: StartOrder, outcome: AttemptOutcome, progress: number): void {
        const history = this.tasks.get(order.payload);
        if (history !== undefined) {
            history.running = undefined;
            history.progress = progress;
        }
        this.evictionCount += outcome === "evicted" ? 1 : 0;
        this.doneCount += outcome === "done" ? 1 : 0;
    }

    /** Notes that an upstream begins to run a request. */
    requestRan(key: string, worker: string): void {
        this.requestCount += 1;
        const runs = this.runsOf(key) + 1;
        this.requests.set(key, runs);
        this.check("at-most-once", runs === 1 || !this.nonIdempotent(key), `request ${key} ran ${runs} times`);
        this.checkLeaving(worker, `request ${key}`);
        this.checkCapacity(worker);
    }

    /** Reports a broken promise. */
    check(invariant: InvariantName, holds: boolean, detail: string): void {
        if (!holds) {
            this.violations.push({ invariant, detail });
        }
    }

    private checkLeaving(worker: string, what: string): void {
        const since = this.leavingSince.get(worker) ?? Number.POSITIVE_INFINITY;
        const late = performance.now() - since;
        this.check("no-work-to-leaving", late <= LEAVING_GRACE_MS, `${what} on ${worker}, leaving for ${late} ms`);
    }

    private checkCapacity(name: string): void {
        const worker = this.workers.get(name);
        if (worker === undefined) {
            return;
        }
        const { orders, services } = worker;
        const busy = [...services.values()].reduce((sum, each) => sum + each, 0);
        const cpus = orders.reduce((sum, each) => sum + each.cpus, 0) + busy * this.slot.cpus;
        const memory = orders.reduce((sum, each) => sum + each.memoryGb, 0) + busy * this.slot.memoryGb;
        const accelerators = orders.reduce((sum, each) => sum + each.accelerators, 0);
        const { capacity } = this;
        const holds =
            orders.length + busy <= capacity.slots &&
            cpus <= capacity.cpus + ROUNDING &&
            memory <= capacity.memoryGb + ROUNDING &&
            accelerators <= capacity.accelerators;
        const tasks = orders.map(each => each.payload).join(" ");
        this.check(
            "capacity",
            holds,
            `${name} has ${busy} requests and ${orders.length} tasks (${tasks}), ${cpus} cpus`,
        );
    }
}
