import { EntryPosition, Fold, MAX_BATCH_ENTRIES } from "../../coordination/common/fold";
import { GrantLimit } from "../../coordination/common/grant";
import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { isEnded, Task, taskBinding, taskChart, TaskEvent, TaskPayload } from "./task";
import { ShardEntry, TaskSubmitted } from "./taskEntry";

/** Offsets for which an ended task is kept, so that its key is still known. */
const ENDED_RETENTION_OFFSETS = 200_000;

/** A task that ended, with the offset at which it did. */
type EndedMark = readonly [task: number, offset: Offset];

interface SavedState {
    readonly epoch: Epoch;
    readonly tasks: readonly Task[];
    readonly ended: readonly EndedMark[];
    readonly shares: readonly (readonly [string, number])[];
    readonly limits: readonly GrantLimit[];
}

/** Told of each change of a task's state, as the fold makes it. */
export type TaskListener = (task: Task, event: TaskEvent) => void;

/** The tasks of one shard. Records of an owner whose epoch is over are void. */
export class ShardFold extends Fold<ShardEntry> {
    override readonly format: string = "1.0.0";
    private currentEpoch: Epoch = -1;
    private tasks = new Map<number, Task>();
    private byKey = new Map<string, number>();
    private open = new Set<Task>();
    private byWorker = new Map<string, Set<Task>>();
    private shares = new Map<string, number>();
    private limits = new Map<string, Map<string, number>>();
    private ended: EndedMark[] = [];

    private constructor(private readonly onTask: TaskListener) {
        super();
    }

    /**
     * @param onTask Told of each change of a task.
     * @returns The state before offset 0.
     */
    static create(onTask: TaskListener = () => undefined): ShardFold {
        return new ShardFold(onTask);
    }

    /** Epoch of the owner whose records count. */
    get epoch(): Epoch {
        return this.currentEpoch;
    }

    /** Tasks that have not ended. */
    get openTasks(): ReadonlySet<Task> {
        return this.open;
    }

    /** @param number Number of a task. @returns The task, if it is still kept. */
    task(number: number): Task | undefined {
        return this.tasks.get(number);
    }

    /** @param key Idempotency key of a task. @returns The task, if it is still kept. */
    find(key: string): Task | undefined {
        const number = this.byKey.get(key);
        return number === undefined ? undefined : this.tasks.get(number);
    }

    /** @param count Number of tasks wanted. @returns The tasks submitted last, the latest first. */
    latest(count: number): Task[] {
        return [...this.tasks.values()].slice(-count).reverse();
    }

    /** @param worker Name of a worker. @returns Tasks with an attempt there that is not known to be over. */
    onWorker(worker: string): ReadonlySet<Task> {
        return this.byWorker.get(worker) ?? new Set();
    }

    /** @param worker Name of a worker. @returns Slots of it that are set apart for services. */
    serviceSlots(worker: string): number {
        return this.shares.get(worker) ?? 0;
    }

    /** @returns What each instance may be granted of each worker. */
    grantLimits(): GrantLimit[] {
        return [...this.limits].flatMap(([worker, row]) =>
            [...row].map(([instance, slots]) => ({ worker, instance, slots })),
        );
    }

    protected override apply(entry: ShardEntry, position: EntryPosition): void {
        switch (entry.kind) {
            case "shard-fenced":
                this.currentEpoch = Math.max(this.currentEpoch, entry.epoch);
                return;
            case "task-submitted":
                return this.submit(entry, position);
            case "task-cancelled":
                return this.step(this.byKey.get(entry.key), "cancel", undefined, position);
            case "task-assigned":
                return this.ifCurrent(entry.epoch, () => this.step(entry.task, "assign", entry, position));
            case "attempt-ended":
                return this.ifCurrent(entry.epoch, () => this.step(entry.task, entry.end, entry, position));
            case "task-refused":
                return this.ifCurrent(entry.epoch, () => this.step(entry.task, "refuse", entry, position));
            case "shares-set":
                return this.ifCurrent(entry.epoch, () =>
                    entry.shares.forEach(share => this.shares.set(share.worker, share.slots)),
                );
            case "grants-limited":
                return this.ifCurrent(entry.epoch, () => entry.limits.forEach(limit => this.limit(limit)));
            case "snapshot-taken":
                return;
        }
    }

    protected override save(): SavedState {
        return {
            epoch: this.currentEpoch,
            tasks: [...this.tasks.values()],
            ended: this.ended,
            shares: [...this.shares],
            limits: this.grantLimits(),
        };
    }

    protected override load(state: unknown): void {
        const saved = state as SavedState;
        this.currentEpoch = saved.epoch;
        this.tasks = new Map(saved.tasks.map(task => [task.number, { ...task, assignment: task.assignment }]));
        this.byKey = new Map(saved.tasks.map(task => [task.request.key, task.number]));
        this.open = new Set([...this.tasks.values()].filter(task => !isEnded(task.state)));
        this.byWorker = new Map();
        this.open.forEach(task => this.index(task));
        this.ended = [...saved.ended];
        this.shares = new Map(saved.shares);
        this.limits = new Map();
        saved.limits.forEach(limit => this.limit(limit));
    }

    private limit({ worker, instance, slots }: GrantLimit): void {
        const row = this.limits.get(worker) ?? new Map<string, number>();
        this.limits.set(worker, row);
        if (slots > 0) {
            row.set(instance, slots);
        } else {
            row.delete(instance);
        }
    }

    private ifCurrent(epoch: Epoch, act: () => void): void {
        if (epoch === this.currentEpoch) {
            act();
        }
    }

    private submit(entry: TaskSubmitted, position: EntryPosition): void {
        // A key that is known names the task that has it; the second submission changes nothing.
        if (this.byKey.has(entry.key)) {
            return;
        }
        const { kind: _kind, submittedAt, ...request } = entry;
        const task: Task = {
            number: position.offset * MAX_BATCH_ENTRIES + position.index,
            request,
            submittedAt,
            state: taskChart.initial,
            attempts: 0,
            evictions: 0,
            checkpoint: "",
            result: "",
            assignment: undefined,
            failedOn: [],
        };
        this.tasks.set(task.number, task);
        this.byKey.set(request.key, task.number);
        this.open.add(task);
    }

    private step(number: number | undefined, event: TaskEvent, payload: TaskPayload, position: EntryPosition): void {
        const task = number === undefined ? undefined : this.tasks.get(number);
        if (task === undefined) {
            return;
        }
        const before = task.assignment?.worker;
        const state = taskChart.fire(task.state, event, task, payload, taskBinding);
        if (state === undefined) {
            return;
        }
        task.state = state;
        if (before !== undefined && task.assignment === undefined) {
            this.unindex(task, before);
        }
        this.index(task);
        if (isEnded(state)) {
            this.open.delete(task);
            this.ended.push([task.number, position.offset]);
            this.forgetOld(position.offset);
        }
        this.onTask(task, event);
    }

    private index(task: Task): void {
        const worker = task.assignment?.worker;
        if (worker !== undefined) {
            const tasks = this.byWorker.get(worker) ?? new Set();
            this.byWorker.set(worker, tasks.add(task));
        }
    }

    private unindex(task: Task, worker: string): void {
        const tasks = this.byWorker.get(worker);
        tasks?.delete(task);
        if (tasks?.size === 0) {
            this.byWorker.delete(worker);
        }
    }

    private forgetOld(offset: Offset): void {
        while (this.ended.length > 0 && this.ended[0][1] < offset - ENDED_RETENTION_OFFSETS) {
            const [number] = this.ended.shift()!;
            const task = this.tasks.get(number);
            this.tasks.delete(number);
            this.byKey.delete(task?.request.key ?? "");
        }
    }
}
