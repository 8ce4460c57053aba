import { LeasedWorker } from "../../standin/common/leasedWorker";
import { Random } from "./random";

/** Which workers crash at one moment: one of them, a third, or all of a rack. */
type CrashScope = "one" | "third" | "rack";

/** When they are back under the same id: after 0.8 s, after 3 s, which is longer than an order takes to time out, or either. */
type CrashDuration = "800ms" | "3s" | "either";

/** A crash of random workers that are back later under the same id. */
export type CrashFault = `crash-${CrashScope}-${CrashDuration}`;

/** Times for which the workers are down, in ms. */
const DOWN_MS: Readonly<Record<CrashDuration, readonly number[]>> = {
    "800ms": [800],
    "3s": [3_000],
    either: [800, 3_000],
};

/** Number of workers for each one that crashes when a third of them does. */
const WORKERS_PER_CRASH = 3;

/** A worker that crashes. */
export interface CrashedWorker {
    readonly worker: LeasedWorker;
    /** Time for which it is down, in ms. */
    readonly downMs: number;
}

/** Draws the workers that crash, without a change to the other draws of a seed. */
export class WorkerCrashes {
    /** Identifiers of the workers that have crashed. */
    private readonly crashed = new Set<string>();

    private constructor(private readonly random: Random) {}

    /** @param seed Seed of a trial. @returns The crashes of the trial. */
    static create(seed: number): WorkerCrashes {
        return new WorkerCrashes(Random.create(seed));
    }

    /** @param fault The crash. @param workers Workers that are up. @returns Those that crash. */
    draw(fault: CrashFault, workers: readonly LeasedWorker[]): CrashedWorker[] {
        const [, scope, duration] = fault.split("-") as ["crash", CrashScope, CrashDuration];
        const chosen = this.choose(scope, workers);
        chosen.forEach(worker => this.crashed.add(worker.entry.id));
        return chosen.map(worker => ({ worker, downMs: this.random.pick(DOWN_MS[duration]) }));
    }

    /** @param id Identifier of a worker. @param worker A worker. @returns Whether it is that worker's next life, after a crash. */
    isBack(id: string, worker: LeasedWorker): boolean {
        return worker.entry.id === id && this.crashed.has(id);
    }

    private choose(scope: CrashScope, workers: readonly LeasedWorker[]): readonly LeasedWorker[] {
        if (workers.length === 0) {
            return [];
        }
        switch (scope) {
            case "one":
                return [this.random.pick(workers)];
            case "third":
                return this.sample(workers, Math.round(workers.length / WORKERS_PER_CRASH));
            case "rack": {
                const { rack } = this.random.pick(workers).entry;
                return workers.filter(each => each.entry.rack === rack);
            }
        }
    }

    private sample(workers: readonly LeasedWorker[], count: number): LeasedWorker[] {
        const left = [...workers];
        return Array.from({ length: count }, () => left.splice(this.random.between(0, left.length - 1), 1)[0]);
    }
}

/**
 * @param faults Crashes that follow one another, over and over.
 * @param fromMs Time (ms) of the first one.
 * @param everyMs Time between two of them, in ms.
 * @param lengthMs Time from the first one within which all are, in ms.
 * @returns The series, as planned faults.
 */
export function createCrashSeries(
    faults: readonly CrashFault[],
    fromMs: number,
    everyMs: number,
    lengthMs: number,
): (readonly [atMs: number, fault: CrashFault])[] {
    return Array.from({ length: Math.floor(lengthMs / everyMs) + 1 }, (_, index) => [
        fromMs + index * everyMs,
        faults[index % faults.length],
    ]);
}
