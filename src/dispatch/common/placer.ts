import { ReservedChoice } from "./reservedChoice";
import { SpareChoice } from "./spareChoice";
import { Task } from "./task";
import { WorkerChoice } from "./workerChoice";
import { Room, WorkerContact } from "./workerContact";

/** Finds a worker for each task of one scheduling pass; what it gives away is reckoned from then on. */
export class Placer {
    private readonly reserved: WorkerChoice = ReservedChoice.create();
    private readonly spare: WorkerChoice = SpareChoice.create();
    private readonly rooms = new Map<WorkerContact, Room>();

    private constructor(private readonly workers: readonly WorkerContact[]) {}

    /** @param workers Workers that may be given tasks. @returns A placer for one pass. */
    static create(workers: readonly WorkerContact[]): Placer {
        return new Placer(workers);
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
            const room = this.room(worker);
            if (!this.isEligible(task, service, worker, room) || !isAllowed(worker)) {
                continue;
            }
            const cost = choice.cost(task, worker, room);
            if (cost !== undefined && cost < bestCost) {
                best = worker;
                bestCost = cost;
            }
        }
        return best;
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
        this.rooms.delete(worker);
    }

    private deduct(task: Task, worker: WorkerContact): void {
        const { request, usesSpareCpu } = task.step;
        const room = this.room(worker);
        this.rooms.set(worker, {
            cpuMillis: room.cpuMillis - (usesSpareCpu ? 0 : request.cpuMillis),
            memoryMb: room.memoryMb - request.memoryMb,
            accelerators: room.accelerators - request.accelerators,
            spareCpuMillis: room.spareCpuMillis - request.cpuMillis,
        });
    }

    private isEligible(task: Task, service: string, worker: WorkerContact, room: Room): boolean {
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

    private room(worker: WorkerContact): Room {
        const known = this.rooms.get(worker);
        if (known !== undefined) {
            return known;
        }
        const room = worker.room();
        this.rooms.set(worker, room);
        return room;
    }
}

function countOfStep(task: Task, worker: WorkerContact): number {
    let count = 0;
    for (const run of worker.runs.values()) {
        count += run.task.job === task.job && run.task.group === task.group ? 1 : 0;
    }
    return count;
}
