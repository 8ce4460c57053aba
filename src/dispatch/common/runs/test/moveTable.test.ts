import test from "ava";
import { MoveTable } from "../moveTable";
import { Task } from "../../jobs/task";
import { createJob, createStep, createWorker } from "../../jobs/test/runs";

function createTask(id: string): Task {
    return [...createJob(id, createStep("batch", false)).tasks()][0];
}

test("a worker is held for a moved task for two seconds at most", t => {
    const worker = createWorker();
    const task = createTask("a");
    const moves = MoveTable.create();
    moves.add(task, worker, 1_000);
    moves.prune([worker], 2_900);
    t.true(moves.isHeld(worker));
    t.is(moves.destinationOf(task), worker);
    moves.prune([worker], 3_100);
    t.false(moves.isHeld(worker));
    t.is(moves.destinationOf(task), undefined);
    t.deepEqual([...moves.all], []);
});

test("a hold ends when the worker is not usable any more, other holds stay", t => {
    const workers = [createWorker("w1"), createWorker("w2")];
    const tasks = [createTask("a"), createTask("b")];
    const moves = MoveTable.create();
    tasks.forEach((task, index) => moves.add(task, workers[index], 1_000));
    moves.prune([workers[1]], 1_100);
    t.deepEqual(
        workers.map(worker => moves.isHeld(worker)),
        [false, true],
    );
    t.is(moves.destinationOf(tasks[0]), undefined);
    t.is(moves.destinationOf(tasks[1]), workers[1]);
});

test("a hold ends with the move of its task", t => {
    const worker = createWorker();
    const task = createTask("a");
    const moves = MoveTable.create();
    moves.add(task, worker, 1_000);
    moves.delete(task);
    t.false(moves.isHeld(worker));
});
