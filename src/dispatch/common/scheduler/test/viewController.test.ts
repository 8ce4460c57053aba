import test from "ava";
import { LEASE_MARGIN_MS, MIN_START_VALIDITY_MS, START_VALIDITY_MS } from "../dispatchLimits";
import { ViewController } from "../viewController";
import { LIMITS } from "../../jobs/test/runs";

const NOW = 100_000;

/** Ages of views in ms; `undefined` for one that is not known. */
interface Ages {
    readonly jobs?: number;
    readonly workers?: number;
    readonly configuration?: number;
}

/** @returns A controller with views of these ages at `NOW`, and what it logs. */
function createController(ages: Ages, limits = LIMITS) {
    const lines: { readonly name: string; readonly old: unknown }[] = [];
    const viewOf = (ageMs: number | undefined) => ({ knownUntil: ageMs === undefined ? undefined : NOW - ageMs });
    const { jobs, workers, configuration } = ages;
    const views = { jobs: viewOf(jobs), workers: viewOf(workers), configuration: viewOf(configuration) };
    const controller = ViewController.create(views, limits, (name, data) => lines.push({ name, old: data.old }));
    return { controller, lines };
}

test("on views that are read in time, an order to start is valid for 1.5 s", t => {
    const { controller, lines } = createController({ jobs: 1_400, workers: 900, configuration: 900 });
    t.true(controller.canStart(NOW));
    t.is(controller.startValidityMs(NOW), START_VALIDITY_MS);
    t.deepEqual(lines, []);
});

test("an order ends before a cancellation, a notice or a configuration that is not known yet is too old", t => {
    for (const jobs of [0, 1_500, 2_400]) {
        for (const workers of [0, 1_000, 1_900]) {
            for (const configuration of [0, 1_200, 1_900]) {
                const { controller } = createController({ jobs, workers, configuration });
                t.true(controller.canStart(NOW));
                const validityMs = controller.startValidityMs(NOW);
                t.true(validityMs >= MIN_START_VALIDITY_MS);
                t.true(jobs + validityMs + LEASE_MARGIN_MS <= LIMITS.cancelMs);
                t.true(workers + validityMs + LEASE_MARGIN_MS <= LIMITS.drainMs);
                t.true(configuration + validityMs + LEASE_MARGIN_MS <= LIMITS.configurationMs);
            }
        }
    }
});

test("nothing is started on a view that leaves too little time, and the log says which one is old", t => {
    const cases: readonly (readonly [Ages, string])[] = [
        [{ jobs: 2_401, workers: 0, configuration: 0 }, "jobs"],
        [{ jobs: 0, workers: 1_901, configuration: 0 }, "workers"],
        [{ jobs: 0, workers: 0, configuration: 1_901 }, "configuration"],
        [{ jobs: 0, configuration: 0 }, "workers"],
        [{ workers: 0, configuration: 0 }, "jobs"],
        [{ jobs: 0, workers: 0 }, "configuration"],
        [{}, "jobs,workers,configuration"],
    ];
    for (const [ages, old] of cases) {
        const { controller, lines } = createController(ages);
        t.false(controller.canStart(NOW));
        t.false(controller.canStart(NOW + 20));
        t.deepEqual(lines, [{ name: "view-old", old }]);
    }
});

test("with a longer bound for workers that leave, their view may be older", t => {
    const { controller } = createController(
        { jobs: 0, workers: 2_400, configuration: 0 },
        { ...LIMITS, drainMs: 4_000 },
    );
    t.true(controller.canStart(NOW));
    t.is(controller.startValidityMs(NOW), START_VALIDITY_MS);
});

test("the ages of the views on which starts are decided are always stated", t => {
    const { controller } = createController({ jobs: 30, workers: 400, configuration: 70 });
    t.deepEqual(controller.ageFields(NOW), {
        jobsAgeMs: 30,
        workersAgeMs: 400,
        configAgeMs: 70,
        delayMs: undefined,
    });
});

test("the log names a view that is too old only because the loop is late", t => {
    const lines: unknown[] = [];
    const viewOf = (ageMs: number) => ({ knownUntil: NOW - ageMs });
    const views = { jobs: viewOf(0), workers: viewOf(0), configuration: viewOf(1_500) };
    const loop = { state: "late" as const, summary: { medianMs: 500, mostMs: 700 } };
    const controller = ViewController.create({ ...views, loop }, LIMITS, (_, data) => lines.push(data.old));
    t.false(controller.canStart(NOW));
    t.deepEqual(lines, ["configuration"]);
});

test("an order ends before an evacuation that is not known yet is too old, if the deployment bounds it", t => {
    const bounded = { ...LIMITS, configurationMs: 20_000, evacuationMs: 5_000 };
    for (const configuration of [0, 3_500, 4_400]) {
        const { controller } = createController({ jobs: 0, workers: 0, configuration }, bounded);
        t.true(controller.canStart(NOW));
        t.true(configuration + controller.startValidityMs(NOW) + LEASE_MARGIN_MS <= bounded.evacuationMs);
    }
    const old = createController({ jobs: 0, workers: 0, configuration: 4_401 }, bounded);
    t.false(old.controller.canStart(NOW));
    t.deepEqual(old.lines, [{ name: "view-old", old: "evacuations" }]);
    const unbounded = { ...bounded, evacuationMs: undefined };
    t.true(createController({ jobs: 0, workers: 0, configuration: 4_401 }, unbounded).controller.canStart(NOW));
    t.false(createController({ jobs: 0, workers: 0 }, unbounded).controller.canStart(NOW));
});
