import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { Random } from "../../../../proof/node/random";
import { ActiveJob } from "../../jobs/activeJob";
import { LatencyModel } from "../../placement/latencyModel";
import { QueueTable } from "../../../../jobs/common/queueTable";
import { StepQueue } from "../stepQueue";
import { SuspectTable } from "../../failures/suspectTable";
import { Task } from "../../jobs/task";
import { TaskSuspicion } from "../../failures/taskSuspicion";
import { WaitingIndex } from "../waitingIndex";
import { WorkerContact } from "../../workers/workerContact";
import {
    assign,
    AssigningHost,
    createJob,
    createStep,
    createWorker,
    place,
    report,
    TARGET_MS,
} from "../../jobs/test/runs";

const PASS_MS = 50;
const LENGTH_MS = 30_000;
const WORKERS = 6;

/** A queue under overload, with the same events for the same seed. */
class Overload {
    readonly assignments: string[] = [];
    private readonly jobs: ActiveJob[] = [];
    private readonly workers: WorkerContact[];
    private readonly suspects = SuspectTable.create();
    private readonly endsAt = new Map<Task, number>();
    private readonly queue: StepQueue;
    private readonly random: Random;
    private now = 0;

    private constructor(seed: number) {
        this.random = Random.create(seed);
        const model = LatencyModel.create([["web", "batch", 4, 1]]);
        this.workers = Array.from({ length: WORKERS }, (_, index) => createWorker(`w${index}`));
        for (const worker of this.workers.slice(2)) {
            report(place(worker, `web-${worker.entry.id}`, createStep("web", true)), TARGET_MS / 2, 0);
            model.update(worker, 0);
        }
        const host = AssigningHost.create((task, worker) => this.assign(task, worker));
        this.queue = StepQueue.create(QueueTable.create(), model, this.suspects, host);
    }

    /** @param recollect Whether every job counts as changed before each pass. @returns The assignments, in order. */
    static run(seed: number, recollect: boolean): string[] {
        const overload = new Overload(seed);
        for (; overload.now < LENGTH_MS; overload.now += PASS_MS) {
            overload.change();
            if (recollect) {
                overload.jobs.forEach(job => job.recordChange());
            }
            overload.queue.placeWaiting(overload.jobs, overload.workers, 20, overload.now, overload.now);
        }
        return overload.assignments;
    }

    private assign(task: Task, worker: WorkerContact) {
        task.job.state = "running";
        this.assignments.push(`${this.now} ${task.name} ${worker.entry.id}`);
        this.endsAt.set(task, this.now + this.random.between(200, 3_000));
        return assign(worker, task);
    }

    private change(): void {
        const { random } = this;
        if (random.chance(0.3)) {
            this.submit();
        }
        for (const [task, endsAt] of this.endsAt) {
            if (endsAt <= this.now) {
                this.end(task);
            }
        }
        const waiting = this.jobs.flatMap(job => [...job.tasks()]).filter(task => task.run === undefined);
        if (waiting.length > 0 && random.chance(0.05)) {
            const task = random.pick(waiting);
            const change = random.pick(["done", "cancel", "suspect"] as const);
            if (change === "done") {
                task.job.markDone(task);
            } else if (change === "cancel") {
                task.job.state = "cancelled";
            } else {
                task.suspicion = random.chance(0.5) ? TaskSuspicion.create("suspected") : undefined;
                this.suspects.update(task);
            }
        }
        for (const worker of this.workers) {
            for (const run of worker.runs.values()) {
                if (run.task.step.usesSpareCpu && random.chance(0.01)) {
                    run.fire("accepted", { now: this.now });
                    run.setSpeed(random.pick([5, 50, 100]), this.now);
                }
            }
        }
        for (let index = this.jobs.length - 1; index >= 0; index--) {
            if (this.jobs[index].isDone) {
                this.jobs.splice(index, 1);
            }
        }
    }

    private end(task: Task): void {
        this.endsAt.delete(task);
        const worker = this.workers.find(each => each.runs.get(task.name) === task.run)!;
        worker.runs.delete(task.name);
        task.run = undefined;
        if (this.random.chance(0.8)) {
            task.job.markDone(task);
        }
    }

    private submit(): void {
        const { random } = this;
        const request = { cpuMillis: random.between(4, 16) * 1_000, memoryMb: random.between(10, 90) * 1_000 };
        const step = createStep("batch", false, {
            tasks: random.between(1, 5),
            request: { ...request, accelerators: 0 },
            mode: random.chance(0.2) ? "gang" : "independent",
            usesSpareCpu: random.chance(0.8),
        });
        const { spec } = createJob(`j${this.now}`, step);
        const steps: StepSpec[] = random.chance(0.5) ? [step] : [step, { ...step, after: [0] }];
        const later = random.chance(0.2)
            ? { occurrences: 3, firstDueMs: this.now + 500, intervalMs: 2_000 }
            : { occurrences: 0 };
        this.jobs.push(ActiveJob.create({ ...spec, ...later, steps, acceptedAtMs: this.now }, 0, undefined));
    }
}

test("jobs that have not changed are placed as if they were collected in each pass", t => {
    let assigned = 0;
    for (let seed = 1; seed <= 8; seed++) {
        const assignments = Overload.run(seed, false);
        t.deepEqual(assignments, Overload.run(seed, true));
        assigned += assignments.length;
    }
    t.true(assigned > 1_000);
});

test("entries of a job are kept until it changes, also when jobs before it are gone", t => {
    const index = WaitingIndex.create<{ pass: number; position: number; readonly job: string }>();
    const [a, b, c] = ["a", "b", "c"].map(id => createJob(id, createStep("batch", false)));
    const collect = (waiting: readonly ActiveJob[]) => {
        index.begin(1);
        const collected = waiting.filter(job => {
            const isKept = index.keep(job) !== undefined;
            if (!isKept) {
                const entries = [{ pass: 0, position: 0, job: job.spec.id }];
                index.add(job, { groups: [], entries, isLasting: job !== a || !a.hasRun });
            }
            return !isKept;
        });
        return { collected: collected.map(job => job.spec.id), order: index.sort(() => 0).map(each => each.job) };
    };
    t.deepEqual(collect([a, b]), { collected: ["a", "b"], order: ["a", "b"] });
    t.deepEqual(collect([b, c]), { collected: ["c"], order: ["b", "c"] });
    b.recordChange();
    t.deepEqual(collect([b, c]), { collected: ["b"], order: ["b", "c"] });
    t.deepEqual(collect([c, a]), { collected: ["a"], order: ["c", "a"] });
    t.deepEqual(collect([a, c]), { collected: ["c"], order: ["a", "c"] });
    assign(createWorker(), [...a.tasks()][0]);
    t.deepEqual(collect([a, c]), { collected: ["a"], order: ["a", "c"] });
    t.deepEqual(collect([a, c]), { collected: ["a"], order: ["a", "c"] });
});
