import { EntryPosition, Fold, MAX_BATCH_ENTRIES } from "../../coordination/common/fold";
import { GrantLimit } from "../../coordination/common/grant";
import { Offset } from "../../services/common/logService";
import { Epoch } from "../../services/common/worker";
import { isEnded, Task, taskBinding, taskChart, TaskEvent, TaskPayload } from "./task";
import { ShardEntry, TaskSubmitted } from "./taskEntry";

/** Number of offsets for which an ended task is kept, so that a resubmission of its key is recognised. */
const ENDED_RETENTION_OFFSETS = 200_000;

/** An ended task and the offset of the record that ended it. */
type EndedTask = readonly [task: number, offset: Offset];

interface SavedState {
    readonly epoch: Epoch;
    readonly tasks: readonly Task[];
    readonly ended: readonly EndedTask[];
    readonly shares: readonly (readonly [string, number])[];
    readonly limits: readonly GrantLimit[];
}

/** Called when an event has been applied to a task. */
export type TaskListener = (task: Task, event: TaskEvent) => void;

/** Tasks of one shard, folded from its stream. Records of owners from earlier epochs have no effect. */
export class ShardFold extends Fold<ShardEntry> {
    override readonly format: string = "1.0.0";
    private currentEpoch: Epoch = -1;
    private tasks = new Map<number, Task>();
    private numberByKey = new Map<string, number>();
    private open = new Set<Task>();
    private tasksByWorker = new Map<string, Set<Task>>();
    private shares = new Map<string, number>();
    private limits = new Map<string, Map<string, number>>();
    private ended: EndedTask[] = [];

    private constructor(private readonly onTask: TaskListener) {
        super();
    }

    /**
     * @param onTask Called when an event has been applied to a task.
     * @returns An empty fold, before offset 0.
     */
    static create(onTask: TaskListener = () => undefined): ShardFold {
        return new ShardFold(onTask);
    }

    /** Epoch of the current owner; its records take effect. */
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
        const number = this.numberByKey.get(key);
        return number === undefined ? undefined : this.tasks.get(number);
    }

    /** @param count Maximum number of tasks. @returns The latest submitted tasks, the newest first. */
    latest(count: number): Task[] {
        return [...this.tasks.values()].slice(-count).reverse();
    }

    /** @param worker Name of a worker. @returns Tasks assigned to it whose attempt has not ended. */
    tasksOn(worker: string): ReadonlySet<Task> {
        return this.tasksByWorker.get(worker) ?? new Set();
    }

    /** @param worker Name of a worker. @returns Its slots that are reserved for services. */
    serviceSlots(worker: string): number {
        return this.shares.get(worker) ?? 0;
    }

    /** @returns Limit of the slots of each worker that each instance may be granted. */
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
                return this.fireTaskEvent(this.numberByKey.get(entry.key), "cancel", undefined, position);
            case "task-assigned":
                return this.ifCurrentEpoch(entry.epoch, () =>
                    this.fireTaskEvent(entry.task, "assign", entry, position),
                );
            case "attempt-ended":
                return this.ifCurrentEpoch(entry.epoch, () =>
                    this.fireTaskEvent(entry.task, entry.end, entry, position),
                );
            case "task-refused":
                return this.ifCurrentEpoch(entry.epoch, () =>
                    this.fireTaskEvent(entry.task, "refuse", entry, position),
                );
            case "shares-set":
                return this.ifCurrentEpoch(entry.epoch, () =>
                    entry.shares.forEach(share => this.shares.set(share.worker, share.slots)),
                );
            case "grants-limited":
                return this.ifCurrentEpoch(entry.epoch, () => entry.limits.forEach(limit => this.setLimit(limit)));
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
        this.numberByKey = new Map(saved.tasks.map(task => [task.request.key, task.number]));
        this.open = new Set([...this.tasks.values()].filter(task => !isEnded(task.state)));
        this.tasksByWorker = new Map();
        this.open.forEach(task => this.addToWorker(task));
        this.ended = [...saved.ended];
        this.shares = new Map(saved.shares);
        this.limits = new Map();
        saved.limits.forEach(limit => this.setLimit(limit));
    }

    private setLimit({ worker, instance, slots }: GrantLimit): void {
        const row = this.limits.get(worker) ?? new Map<string, number>();
        this.limits.set(worker, row);
        if (slots > 0) {
            row.set(instance, slots);
        } else {
            row.delete(instance);
        }
    }

    private ifCurrentEpoch(epoch: Epoch, apply: () => void): void {
        if (epoch === this.currentEpoch) {
            apply();
        }
    }

    private submit(entry: TaskSubmitted, position: EntryPosition): void {
        // A known key identifies the existing task; a repeated submission has no effect.
        if (this.numberByKey.has(entry.key)) {
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
            lossesInARow: 0,
        };
        this.tasks.set(task.number, task);
        this.numberByKey.set(request.key, task.number);
        this.open.add(task);
    }

    private fireTaskEvent(
        number: number | undefined,
        event: TaskEvent,
        payload: TaskPayload,
        position: EntryPosition,
    ): void {
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
            this.removeFromWorker(task, before);
        }
        this.addToWorker(task);
        if (isEnded(state)) {
            this.open.delete(task);
            this.ended.push([task.number, position.offset]);
            this.dropExpired(position.offset);
        }
        this.onTask(task, event);
    }

    private addToWorker(task: Task): void {
        const worker = task.assignment?.worker;
        if (worker !== undefined) {
            const tasks = this.tasksByWorker.get(worker) ?? new Set();
            this.tasksByWorker.set(worker, tasks.add(task));
        }
    }

    private removeFromWorker(task: Task, worker: string): void {
        const tasks = this.tasksByWorker.get(worker);
        tasks?.delete(task);
        if (tasks?.size === 0) {
            this.tasksByWorker.delete(worker);
        }
    }

    private dropExpired(offset: Offset): void {
        while (this.ended.length > 0 && this.ended[0][1] < offset - ENDED_RETENTION_OFFSETS) {
            const [number] = this.ended.shift()!;
            const task = this.tasks.get(number);
            this.tasks.delete(number);
            this.numberByKey.delete(task?.request.key ?? "");
        }
    }
}
