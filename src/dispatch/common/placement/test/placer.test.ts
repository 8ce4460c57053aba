import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { Random } from "../../../../proof/node/random";
import { LatencyModel } from "../latencyModel";
import { Placer } from "../placer";
import { Task } from "../../jobs/task";
import { WorkerContact } from "../../workers/workerContact";
import {
    assign,
    createJob,
    createStep,
    createWorker,
    HEAVY_MODEL,
    place,
    report,
    TARGET_MS,
} from "../../jobs/test/runs";

const SERVICE = "svc";

function tasksOf(id: string, step: StepSpec): Task[] {
    return [...createJob(id, step).tasks()];
}

/** Places tasks in order until one cannot be placed. @returns The chosen workers. */
function placeAll(placer: Placer, tasks: readonly Task[]): WorkerContact[] {
    const chosen: WorkerContact[] = [];
    for (const task of tasks) {
        const worker = placer.choose(task, SERVICE)?.worker;
        if (worker === undefined) {
            break;
        }
        assign(worker, task);
        placer.invalidate(worker);
        chosen.push(worker);
    }
    return chosen;
}

test("cached costs of a step lead to the same choices as newly computed ones", t => {
    const random = Random.create(7);
    const model = LatencyModel.create([
        ["web", "batch", 4, 1],
        ["shop", "batch", 0.5, 0.01],
    ]);
    const workers = Array.from({ length: 12 }, (_, index) => createWorker(`w${index}`));
    workers.forEach((worker, index) =>
        place(worker, `s${index}`, createStep(random.between(0, 1) === 0 ? "web" : "shop", true)),
    );
    const placer = Placer.create(workers, model);
    let placed = 0;
    for (let job = 0; job < 12; job++) {
        const request = { cpuMillis: random.between(2_000, 14_000), memoryMb: 5_000, accelerators: 0 };
        for (const task of tasksOf(`j${job}`, createStep("batch", false, { tasks: 10, request }))) {
            const worker = placer.choose(task, SERVICE)?.worker;
            t.is(worker, Placer.create(workers, model).choose(task, SERVICE)?.worker);
            if (worker !== undefined) {
                assign(worker, task);
                placer.invalidate(worker);
                placed += 1;
            }
        }
    }
    t.true(placed > 20);
});

test("a task is placed on a worker of its service with the required label", t => {
    const other = createWorker("other", { service: "elsewhere", labels: ["gpu"] });
    const plain = createWorker("plain");
    const labelled = createWorker("labelled", { labels: ["gpu"] });
    const [task] = tasksOf("a", createStep("batch", false, { requiredLabel: "gpu" }));
    const choose = (workers: WorkerContact[]) =>
        Placer.create(workers, LatencyModel.create()).choose(task, SERVICE)?.worker;
    t.is(choose([other, plain, labelled]), labelled);
    t.is(choose([other, plain]), undefined);
});

test("a worker gets at most the allowed number of tasks of a step", t => {
    const workers = [createWorker("w1"), createWorker("w2")];
    const tasks = tasksOf("a", createStep("batch", false, { tasks: 6, maxPerWorker: 2 }));
    const chosen = placeAll(Placer.create(workers, LatencyModel.create()), tasks);
    t.deepEqual(
        workers.map(worker => chosen.filter(each => each === worker).length),
        [2, 2],
    );
});

test("a gang gets workers for all of its tasks or for none", t => {
    const workers = [createWorker("w1"), createWorker("w2")];
    const gang = (tasks: number) =>
        tasksOf("a", createStep("solver", false, { tasks, mode: "gang", usesSpareCpu: false }));
    const chooseAll = (tasks: number) =>
        Placer.create(workers, LatencyModel.create()).chooseAll(gang(tasks), SERVICE, undefined);
    t.is(chooseAll(16)?.length, 16);
    t.is(chooseAll(17), undefined);
});

test("a gang that cannot be placed leaves all capacity to other tasks", t => {
    const workers = [createWorker("w1")];
    const placer = Placer.create(workers, LatencyModel.create());
    const step = createStep("solver", false, { tasks: 9, mode: "gang", usesSpareCpu: false });
    t.is(placer.chooseAll(tasksOf("a", step), SERVICE, undefined), undefined);
    const single = createStep("solver", false, { tasks: 8, usesSpareCpu: false });
    t.is(placeAll(placer, tasksOf("b", single)).length, 8);
});

/** @returns A worker with latency-critical tasks that all have the same headroom. */
function createBusyWorker(model: LatencyModel, id: string, headroom: number, latencyCriticalTasks = 1): WorkerContact {
    const worker = createWorker(id);
    for (let index = 0; index < latencyCriticalTasks; index++) {
        report(place(worker, `${id}-${index}`, createStep("web", true)), TARGET_MS / headroom, 500);
    }
    model.update(worker, 500);
    return worker;
}

test("below full speed, a task is placed where it runs fastest, even if another worker has a lower cost", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const fast = createBusyWorker(model, "fast", 1.6, 2);
    const slow = createBusyWorker(model, "slow", 1.3);
    const [task] = tasksOf("a", createStep("batch", false));
    const speedOn = (worker: WorkerContact) =>
        Placer.create([worker], model).choose(task, SERVICE, undefined, 0)!.speedPercent;
    t.true(speedOn(slow) > 0 && speedOn(slow) < speedOn(fast) && speedOn(fast) < 100);
    for (const workers of [
        [fast, slow],
        [slow, fast],
    ]) {
        const choice = Placer.create(workers, model).choose(task, SERVICE, undefined, 0);
        t.is(choice?.worker, fast);
        t.is(choice?.speedPercent, speedOn(fast));
    }
});

test("a search at a lower speed is not useless because one at full speed found no worker", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const placer = Placer.create([createBusyWorker(model, "w1", 1.8)], model);
    const [task] = tasksOf("a", createStep("batch", false));
    t.is(placer.choose(task, SERVICE, undefined, 100), undefined);
    placer.recordRejection(task, SERVICE, 100);
    t.true(placer.isInfeasible(task, SERVICE, 100));
    t.false(placer.isInfeasible(task, SERVICE, 40));
    t.not(placer.choose(task, SERVICE, undefined, 40), undefined);
});

test("a search at full speed is useless after one at a lower speed found no worker", t => {
    const model = LatencyModel.create(HEAVY_MODEL);
    const placer = Placer.create([createBusyWorker(model, "w1", 1.3)], model);
    const [task] = tasksOf("a", createStep("batch", false));
    placer.recordRejection(task, SERVICE, 40);
    t.true(placer.isInfeasible(task, SERVICE, 40));
    t.true(placer.isInfeasible(task, SERVICE, 100));
    t.false(placer.isInfeasible(task, SERVICE, 5));
});
