import test from "ava";
import { StepSpec } from "../../../../jobs/common/jobSpec";
import { Random } from "../../../../proof/node/random";
import { BestEffortPolicy } from "../bestEffortPolicy";
import { CapacityBounds } from "../capacityBounds";
import { InterferenceRow, LatencyModel } from "../latencyModel";
import { PlacementOffer } from "../placementPolicy";
import { ReservedPolicy } from "../reservedPolicy";
import { WorkerContact } from "../../workers/workerContact";
import { forecastFor } from "../../workers/workerForecast";
import { createJob, createStep, createWorker, place, report, TARGET_MS } from "../../jobs/test/runs";

const IMAGES = ["batch", "index", "render"];
const SERVICES = ["web", "shop"];
const WORKERS = 12;
const MIN_SPEEDS = [100, 60, 30, 0];

function createModel(random: Random): LatencyModel {
    const rows = SERVICES.flatMap(service =>
        IMAGES.map((image): InterferenceRow => [service, image, random.between(0, 6), random.between(0, 2)]),
    );
    return LatencyModel.create(rows);
}

function createBatch(random: Random): StepSpec {
    const request = {
        cpuMillis: random.between(0, 24) * 1_000,
        memoryMb: random.between(1, 100) * 1_000,
        accelerators: 0,
    };
    const usesSpareCpu = random.chance(0.8);
    const estimateMs = random.between(1, 4) * 700;
    return createStep(random.pick(IMAGES), false, { request, estimateMs, usesSpareCpu });
}

/** @returns A worker with some latency-critical and best-effort runs, some of which have been reported. */
function createLoadedWorker(id: string, random: Random, model: LatencyModel): WorkerContact {
    const worker = createWorker(id);
    for (let index = random.between(0, 2); index > 0; index--) {
        const run = place(worker, `${id}-s${index}`, createStep(random.pick(SERVICES), true));
        if (random.chance(0.8)) {
            report(run, TARGET_MS / (0.8 + 3 * random.fraction()), 500);
        }
    }
    for (let index = random.between(0, 3); index > 0; index--) {
        report(place(worker, `${id}-b${index}`, createBatch(random)), random.between(0, 8_000), 500);
    }
    model.update(worker, 500);
    return worker;
}

/** Whether an offer is accepted at a speed, by the rules of the placer. */
function isSufficient(offer: PlacementOffer, minSpeedPercent: number): boolean {
    return offer.limit === undefined || (offer.isOpenBelowFullSpeed && offer.speedPercent >= minSpeedPercent);
}

function positionsWithin(bounds: CapacityBounds, step: StepSpec, minSpeedPercent: number): number[] {
    const kind = bounds.boundsOf(step);
    const positions: number[] = [];
    for (let position = bounds.next(kind, step, minSpeedPercent, 0); position < WORKERS;) {
        positions.push(position);
        position = bounds.next(kind, step, minSpeedPercent, position + 1);
    }
    return positions;
}

test("no worker with a sufficient offer is outside of the bounds, and most without are", t => {
    const counts = { sufficient: 0, within: 0, all: 0 };
    for (let seed = 1; seed <= 60; seed++) {
        const random = Random.create(seed);
        const model = createModel(random);
        const workers = Array.from({ length: WORKERS }, (_, index) => createLoadedWorker(`w${index}`, random, model));
        const versions = workers.map(() => 1);
        const reserved = ReservedPolicy.create();
        const bestEffort = BestEffortPolicy.create(model);
        const [ofReserved, ofBestEffort] = [reserved, bestEffort].map(each =>
            CapacityBounds.create(each, workers, versions, position => forecastFor(workers[position], model)),
        );
        for (let index = 0; index < 40; index++) {
            const step = createBatch(random);
            const [task] = createJob(`j${index}`, step).tasks();
            const minSpeedPercent = random.pick(MIN_SPEEDS);
            const policy = step.usesSpareCpu ? bestEffort : reserved;
            const within = positionsWithin(step.usesSpareCpu ? ofBestEffort : ofReserved, step, minSpeedPercent);
            const sufficient = workers.flatMap((worker, position) => {
                const forecast = forecastFor(worker, model);
                const fits = worker.fits(step.request, step.usesSpareCpu, forecast.freeCapacity);
                const isOffered = fits && isSufficient(policy.assess(task, worker, forecast), minSpeedPercent);
                return isOffered ? [position] : [];
            });
            t.true(sufficient.every(position => within.includes(position)));
            counts.sufficient += sufficient.length;
            counts.within += within.length;
            counts.all += workers.length;
            if (sufficient.length > 0 && random.chance(0.3)) {
                place(workers[sufficient[0]], `p${seed}-${index}`, step);
                versions[sufficient[0]] += 1;
            }
        }
    }
    t.true(counts.sufficient > 1_000);
    t.true(counts.within - counts.sufficient < (counts.all - counts.sufficient) / 4, JSON.stringify(counts));
});
