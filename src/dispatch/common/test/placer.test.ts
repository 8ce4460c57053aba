import test from "ava";
import { StepSpec } from "../../../jobs/common/jobSpec";
import { Random } from "../../../proof/node/random";
import { LatencyModel } from "../latencyModel";
import { Placer } from "../placer";
import { Task } from "../task";
import { WorkerContact } from "../workerContact";
import { assign, createJob, createStep, createWorker, place } from "./runs";

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
