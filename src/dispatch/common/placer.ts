import { LatencyModel } from "./latencyModel";
import { ReservedChoice } from "./reservedChoice";
import { SpareChoice } from "./spareChoice";
import { Task } from "./task";
import { WorkerChoice } from "./workerChoice";
import { Room, WorkerContact } from "./workerContact";
import { outlookOf, WorkerOutlook } from "./workerOutlook";

/** Finds a worker for each task of one scheduling pass; what it gives away is reckoned from then on. */
export class Placer {
    private readonly outlooks = new Map<WorkerContact, WorkerOutlook>();
    /** Least processor time, by image, for which no room was found in this pass. */
    private readonly rejected = new Map<string | undefined, number>();

    private constructor(
        private readonly workers: readonly WorkerContact[],
        private readonly reserved: WorkerChoice,
        private readonly spare: WorkerChoice,
        private readonly model: LatencyModel,
    ) {}

    /**
     * @param workers Workers that may be given tasks.
     * @param model Knows the pressures between images.
     * @returns A placer for one pass.
     */
    static create(workers: readonly WorkerContact[], model: LatencyModel): Placer {
        return new Placer(workers, ReservedChoice.create(), SpareChoice.create(model), model);
    }

    /**
     * @param task A task that waits.
     * @param service Service whose workers may run it.
     * @param isAllowed Further condition on the worker.
     * @returns The worker to place it on, or `undefined` to let it wait.
     */
    choose(
        task: Task,
        service: string,
        isAllowed: (worker: WorkerContact) => boolean = () => true,
    ): WorkerContact | undefined {
        const choice = task.step.usesSpareCpu ? this.spare : this.reserved;
        let best: WorkerContact | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const worker of this.workers) {
            const outlook = this.outlook(worker);
            if (!isEligible(task, service, worker, outlook.room) || !isAllowed(worker)) {
                continue;
            }
            const cost = choice.cost(task, worker, outlook);
            if (cost !== undefined && cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return best;
    }

    /** @returns Whether a task that asks for no more found no room in this pass, so that looking again is useless. */
    isHopeless(task: Task): boolean {
        const { image, request, usesSpareCpu } = task.step;
        return usesSpareCpu && request.cpuMillis >= (this.rejected.get(image) ?? Number.POSITIVE_INFINITY);
    }

    /** Notes that a task found no room. */
    noteRejected(task: Task): void {
        const { image, request, usesSpareCpu } = task.step;
        if (usesSpareCpu) {
            this.rejected.set(image, Math.min(request.cpuMillis, this.rejected.get(image) ?? Number.POSITIVE_INFINITY));
        }
    }

    /**
     * Finds workers for tasks that have to start together.
     * @param tasks The tasks.
     * @param service Service whose workers may run them.
     * @param rack Rack on which all have to be, if any.
     * @returns A worker for each task, or `undefined` if there is not room for all.
     */
    chooseAll(tasks: readonly Task[], service: string, rack: string | undefined): WorkerContact[] | undefined {
        const chosen: WorkerContact[] = [];
        for (const task of tasks) {
            const { maxPerWorker } = task.step;
            const worker = this.choose(
                task,
                service,
                each =>
                    (rack === undefined || each.entry.rack === rack) &&
                    (maxPerWorker === undefined || chosen.filter(other => other === each).length < maxPerWorker),
            );
            if (worker === undefined) {
                chosen.forEach(each => this.update(each));
                return undefined;
            }
            chosen.push(worker);
            this.deduct(task, worker);
        }
        return chosen;
    }

    /** @param service A service. @returns Racks of its usable workers. */
    racks(service: string): string[] {
        const racks = this.workers.filter(each => each.entry.service === service).map(each => each.entry.rack);
        return [...new Set(racks)];
    }

    /** Reckons a worker's room anew after something was placed on it. */
    update(worker: WorkerContact): void {
        this.outlooks.delete(worker);
    }

    private deduct(task: Task, worker: WorkerContact): void {
        const { request, usesSpareCpu } = task.step;
        const { room, serving } = this.outlook(worker);
        this.outlooks.set(worker, {
            serving,
            room: {
                cpuMillis: room.cpuMillis - (usesSpareCpu ? 0 : request.cpuMillis),
                memoryMb: room.memoryMb - request.memoryMb,
                accelerators: room.accelerators - request.accelerators,
                spareCpuMillis: room.spareCpuMillis - request.cpuMillis,
            },
        });
    }

    private outlook(worker: WorkerContact): WorkerOutlook {
        const known = this.outlooks.get(worker);
        if (known !== undefined) {
            return known;
        }
        const outlook = outlookOf(worker, this.model);
        this.outlooks.set(worker, outlook);
        return outlook;
    }
}

function isEligible(task: Task, service: string, worker: WorkerContact, room: Room): boolean {
    const { step } = task;
    const { entry } = worker;
    return (
        entry.service === service &&
        worker.fits(step.request, step.usesSpareCpu, room) &&
        (step.requiredLabel === undefined || entry.labels.includes(step.requiredLabel)) &&
        (step.maxPerWorker === undefined || countOfStep(task, worker) < step.maxPerWorker) &&
        !task.failedOn.has(entry.id)
    );
}

function countOfStep(task: Task, worker: WorkerContact): number {
    let count = 0;
    for (const run of worker.runs.values()) {
        count += run.task.job === task.job && run.task.group === task.group ? 1 : 0;
    }
    return count;
}
