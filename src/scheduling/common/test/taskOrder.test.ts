import test from "ava";
import { evictionCost } from "../evictionCost";
import { Task } from "../task";
import { TaskOrder } from "../taskOrder";
import { TaskRequest } from "../taskEntry";

function task(number: number, team: string, changes: Partial<TaskRequest> = {}, submittedAt = 0): Task {
    const request: TaskRequest = {
        key: `k${number}`,
        team,
        family: "f",
        urgency: "normal",
        idempotency: "idempotent",
        cpus: 1,
        memoryGb: 1,
        accelerators: 0,
        durationMs: 3_600_000,
        dueAt: 0,
        payload: "",
        ...changes,
    };
    const counts = { attempts: 0, evictions: 0, lossesInARow: 0 };
    const empty = { ...counts, checkpoint: "", result: "", assignment: undefined, failedOn: [] };
    return { number, request, submittedAt, state: "queued", ...empty };
}

const order = TaskOrder.create(team => ({ team, guaranteedSlots: team === "big" ? 30 : 10, maxSlots: 50 }));

function numbersOf(tasks: readonly Task[]): number[] {
    return tasks.map(each => each.number);
}

test("urgent tasks go first, then those whose deadline is at risk, then those that have waited too long", t => {
    const now = 100_000_000;
    const tasks = [
        task(1, "a", {}, now),
        task(2, "a", {}, now - 4_000_000),
        task(3, "a", { dueAt: now + 4_000_000 }, now),
        task(4, "a", { urgency: "urgent" }, now),
    ];
    t.deepEqual(numbersOf(order.next(tasks, new Map(), now, 10)), [4, 3, 2, 1]);
});

test("teams alternate in proportion to their guaranteed slots, and borrow slots that others leave idle", t => {
    const tasks = Array.from({ length: 40 }, (_, index) => task(index, index % 2 === 0 ? "big" : "small"));
    const first = order.next(tasks, new Map(), 0, 12);
    t.is(first.filter(each => each.request.team === "big").length, 9);
    const alone = order.next(
        tasks.filter(each => each.request.team === "small"),
        new Map([["small", 10]]),
        0,
        20,
    );
    t.is(alone.length, 20);
});

test("tasks of a team at its maximum wait", t => {
    t.deepEqual(order.next([task(1, "small")], new Map([["small", 50]]), 0, 5), []);
});

test("evicting a task costs more the closer it is to its end", t => {
    const weights = { tailLatency: 1, throughput: 6, evictions: 10 };
    const cost = (progress: number) => evictionCost({ task: task(1, "a"), progress, interference: 0 }, weights);
    t.true(cost(0.9) > cost(0.5) && cost(0.5) > cost(0.1));
});
