import test from "ava";
import { DecisionEffect } from "../../../dispatch/common/scheduler/dispatchEffects";
import { Readiness, ReadinessObstacle, ReadinessViews } from "../readiness";

const TICK_MS = 50;

function createReadiness(obstaclesAt: (now: number) => ReadinessObstacle[]) {
    const lines: object[] = [];
    let at = 0;
    const has = (obstacle: ReadinessObstacle) => obstaclesAt(at).includes(obstacle);
    const emit = ({ name, data }: DecisionEffect) => lines.push({ at, name, ...data });
    const views: ReadinessViews = {
        lifecycle: {
            get state() {
                return has("loading") ? "loading" : has("stopping") ? "stopping" : "serving";
            },
        },
        jobs: {
            get knownUntil() {
                return has("jobs-old") ? at - 3_000 : at;
            },
            get isFailing() {
                return has("jobs-failing");
            },
        },
        configuration: {
            stream: {
                get answeredSince() {
                    return has("configuration-unanswered") ? at - 3_000 : at;
                },
                get isFailing() {
                    return has("configuration-failing");
                },
            },
            view: { isInForce: () => !has("configuration-old") },
        },
        submissions: { isStoreWorking: () => !has("store-failing") },
    };
    const readiness = Readiness.create(views, { emit });
    readiness.start(0);
    const advanceTo = (until: number) => {
        for (; at <= until; at += TICK_MS) {
            readiness.review(at);
        }
    };
    return { lines, advanceTo };
}

test("the time until an instance is ready after its start is reported once", t => {
    const { lines, advanceTo } = createReadiness(now => (now < 700 ? ["loading"] : []));
    advanceTo(10_000);
    t.deepEqual(lines, [
        { at: 1_700, name: "instance-ready", obstacles: "loading", afterMs: 700, unreadyMs: 700, times: 1 },
    ]);
});

test("an instance that is not ready says so at once, and when it is ready again", t => {
    const { lines, advanceTo } = createReadiness(now =>
        now >= 5_000 && now < 6_000 ? (now < 5_500 ? ["jobs-failing"] : ["jobs-failing", "jobs-old"]) : [],
    );
    advanceTo(10_000);
    t.deepEqual(lines.slice(1), [
        { at: 5_000, name: "instance-unready", obstacles: "jobs-failing" },
        {
            at: 7_000,
            name: "instance-ready",
            obstacles: "jobs-failing,jobs-old",
            afterMs: 1_000,
            unreadyMs: 1_000,
            times: 1,
        },
    ]);
});

test("an instance that is not ready by turns writes one line of both kinds, with the time in all", t => {
    const isUnready = (now: number) => now >= 5_000 && now < 15_000 && now % 500 < 200;
    const { lines, advanceTo } = createReadiness(now => (isUnready(now) ? ["store-failing"] : []));
    advanceTo(20_000);
    t.deepEqual(lines.slice(1), [
        { at: 5_000, name: "instance-unready", obstacles: "store-failing" },
        { at: 15_700, name: "instance-ready", obstacles: "store-failing", afterMs: 9_700, unreadyMs: 4_000, times: 20 },
    ]);
});

test("each obstacle alone keeps an instance from being ready", t => {
    const all: ReadinessObstacle[] = [
        "loading",
        "stopping",
        "jobs-failing",
        "jobs-old",
        "configuration-failing",
        "configuration-unanswered",
        "configuration-old",
        "store-failing",
    ];
    for (const obstacle of all) {
        const { lines, advanceTo } = createReadiness(now => (now < 5_000 ? [] : [obstacle]));
        advanceTo(6_000);
        t.deepEqual(lines.slice(1), [{ at: 5_000, name: "instance-unready", obstacles: obstacle }]);
    }
});
