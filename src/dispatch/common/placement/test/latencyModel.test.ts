import test from "ava";
import { LatencyModel } from "../latencyModel";
import { BestEffortPolicy } from "../bestEffortPolicy";
import { forecastFor } from "../../workers/workerForecast";
import { Run } from "../../runs/run";
import { WorkerContact } from "../../workers/workerContact";
import { createStep, createWorker, place, report, TARGET_MS } from "../../jobs/test/runs";

/** Time between two reports, in ms. */
const REPORT_INTERVAL_MS = 500;

/** Headroom of the latency-critical job at its mean load. */
const MEAN_HEADROOM = 3;

/** Amplitude and period of the variation of the headroom with the load. */
const HEADROOM_AMPLITUDE = 1.4;
const LOAD_PERIOD_MS = 10_000;

/** Loss of headroom when a heavy image uses an eighth of the worker's CPU. */
const HEAVY_LOSS = 1.5;

function headroomAt(now: number): number {
    return MEAN_HEADROOM + HEADROOM_AMPLITUDE * Math.sin((2 * Math.PI * now) / LOAD_PERIOD_MS);
}

test("reports of six tasks under varying load identify the one heavy neighbor image within three seconds", t => {
    const model = LatencyModel.create();
    const workers = Array.from({ length: 6 }, (_, index) => createWorker(`w${index}`));
    const latencyCritical = workers.map(worker => place(worker, "a", createStep("web", true)));
    const neighbors = workers.map((worker, index) =>
        place(worker, "b", createStep(index === 0 ? "heavy" : "light", false)),
    );
    for (let now = REPORT_INTERVAL_MS; now <= 3_000; now += REPORT_INTERVAL_MS) {
        latencyCritical.forEach((run, index) =>
            report(run, TARGET_MS / (headroomAt(now) - (index === 0 ? HEAVY_LOSS : 0)), now),
        );
        neighbors.forEach(run => report(run, 8_000, now));
        workers.forEach(worker => model.update(worker, now));
    }
    const eighth = 0.125;
    t.true(model.interference("web", "heavy", eighth) > HEAVY_LOSS / 2);
    t.true(model.interference("web", "light", eighth) < HEAVY_LOSS / 4);
});

test("a single bad report does not count as a load peak", t => {
    const model = LatencyModel.create();
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    for (let now = REPORT_INTERVAL_MS; now <= 20_000; now += REPORT_INTERVAL_MS) {
        report(latencyCritical, now === 10_000 ? TARGET_MS : TARGET_MS / MEAN_HEADROOM, now);
        model.update(worker, now);
    }
    t.true(model.baseline(latencyCritical).minHeadroom > MEAN_HEADROOM * 0.8);
});

test("a placement assumes more interference for an unknown pair than for a known one with the same estimate", t => {
    const known = LatencyModel.create([["web", "batch", 1.5, 0.01]]);
    const unknown = LatencyModel.create();
    const assumed = [known, unknown].map(model => model.conservativeInterference("web", "batch", 1));
    t.true(assumed[1] > assumed[0]);
});

test("a light run is placed next to a task at its load peak, a heavy one is not", t => {
    const model = LatencyModel.create([
        ["web", "heavy", HEAVY_LOSS * 8, 0.01],
        ["web", "light", 1, 0.01],
    ]);
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    report(latencyCritical, TARGET_MS / 1.5, REPORT_INTERVAL_MS);
    model.update(worker, REPORT_INTERVAL_MS);
    const policy = BestEffortPolicy.create(model);
    const limitOf = (image: string) => {
        const { task } = place(createWorker("other"), image, createStep(image, false));
        return policy.assess(task, worker, forecastFor(worker, model)).limit;
    };
    t.is(limitOf("light"), undefined);
    t.is(limitOf("heavy"), "interference");
});

test("the age of an estimate is that of its latest report, and unknown if it was inherited", t => {
    const model = LatencyModel.create([["web", "inherited", 3, 1]]);
    const worker = createWorker();
    const latencyCritical = place(worker, "a", createStep("web", true));
    const neighbor = place(worker, "b", createStep("batch", false));
    report(neighbor, 8_000, REPORT_INTERVAL_MS);
    for (const now of [REPORT_INTERVAL_MS, 2 * REPORT_INTERVAL_MS]) {
        report(latencyCritical, TARGET_MS / MEAN_HEADROOM, now);
        model.update(worker, now);
    }
    t.is(model.estimateAgeMs("web", "batch", 5_000), 4_000);
    t.is(model.estimateAgeMs("web", "inherited", 5_000), undefined);
});

test("an estimate that was learned from slow workers is corrected by reports next to runs at half speed", t => {
    const model = LatencyModel.create([["web", "batch", 30, 0.01]]);
    const workers = Array.from({ length: 6 }, (_, index) => createWorker(`w${index}`));
    const latencyCritical = workers.map(worker => place(worker, "a", createStep("web", true)));
    const reportUntil = (from: number, until: number) => {
        for (let now = from; now <= until; now += REPORT_INTERVAL_MS) {
            latencyCritical.forEach(run => report(run, TARGET_MS / headroomAt(now), now));
            workers.forEach(worker => model.update(worker, now));
        }
    };
    reportUntil(REPORT_INTERVAL_MS, 20_000);
    for (const worker of workers.slice(0, 2)) {
        report(place(worker, `b-${worker.entry.id}`, createStep("batch", false)), 4_000, 20_000);
    }
    reportUntil(20_500, 30_000);
    const full = 0.125;
    t.true(model.interference("web", "batch", full) < HEAVY_LOSS / 2);
});

/** Interference of a learned pair, and the CPU (thousandths of a core) that an informative neighbor uses. */
const LEARNED_INTERFERENCE = 4;
const INFORMATIVE_MILLIS = 8_000;

/** CPU that is too little for a report to say anything about the interference, in thousandths of a core. */
const UNINFORMATIVE_MILLIS = 100;

/** Time of the first report, in ms. */
const FIRST_REPORT_MS = 100_000;

/** A latency-critical task next to a best-effort one; all reports agree with the learned interference. */
class AgingFixture {
    readonly model = LatencyModel.create([
        ["web", "batch", LEARNED_INTERFERENCE, 0.01],
        ["web", "absent", LEARNED_INTERFERENCE, 0.01],
    ]);
    private readonly worker: WorkerContact = createWorker();
    private readonly latencyCritical: Run = place(this.worker, "a", createStep("web", true));
    private readonly neighbor: Run = place(this.worker, "b", createStep("batch", false));
    private now = FIRST_REPORT_MS - REPORT_INTERVAL_MS;

    private constructor() {}

    static create(): AgingFixture {
        return new AgingFixture();
    }

    /** Reports up to a time after the first report. @param ms The time in ms. @param usedMillis CPU that the neighbor uses. */
    reportUntil(ms: number, usedMillis: number): void {
        while (this.now < FIRST_REPORT_MS + ms) {
            this.now += REPORT_INTERVAL_MS;
            const loss = (LEARNED_INTERFERENCE * usedMillis) / this.worker.entry.capacity.cpuMillis;
            report(this.neighbor, usedMillis, this.now);
            report(this.latencyCritical, TARGET_MS / (MEAN_HEADROOM - loss), this.now);
            this.model.update(this.worker, this.now);
        }
    }

    /** Estimate and variance of a neighbor image. */
    estimate(neighborImage: string): { readonly interference: number; readonly variance: number } {
        const [, , interference, variance] = this.model.rows().find(([, image]) => image === neighborImage)!;
        return { interference, variance };
    }
}

test("an estimate does not age while informative reports confirm it, and ages two seconds after the last of them", t => {
    const fixture = AgingFixture.create();
    fixture.reportUntil(20_000, INFORMATIVE_MILLIS);
    t.is(fixture.estimate("batch").interference, LEARNED_INTERFERENCE);
    t.true(fixture.estimate("batch").variance < 0.1);
    fixture.reportUntil(21_500, UNINFORMATIVE_MILLIS);
    t.is(fixture.estimate("batch").interference, LEARNED_INTERFERENCE);
    fixture.reportUntil(23_000, UNINFORMATIVE_MILLIS);
    const aging = fixture.estimate("batch");
    t.true(aging.interference < LEARNED_INTERFERENCE && aging.interference > LEARNED_INTERFERENCE * 0.9);
    t.true(aging.variance > 0.1);
    fixture.reportUntil(600_000, UNINFORMATIVE_MILLIS);
    const unknown = LatencyModel.create().interference("web", "batch", 1);
    t.true(Math.abs(fixture.estimate("batch").interference - unknown) < 0.2);
});

test("an inherited estimate ages from two seconds after the first report of this leader", t => {
    const fixture = AgingFixture.create();
    fixture.reportUntil(1_500, INFORMATIVE_MILLIS);
    t.deepEqual(fixture.estimate("absent"), { interference: LEARNED_INTERFERENCE, variance: 0.01 });
    fixture.reportUntil(3_000, INFORMATIVE_MILLIS);
    const aging = fixture.estimate("absent");
    t.true(aging.interference < LEARNED_INTERFERENCE && aging.interference > LEARNED_INTERFERENCE * 0.9);
    t.true(aging.variance > 0.1);
});
