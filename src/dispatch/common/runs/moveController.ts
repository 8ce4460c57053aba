import { MoveTable } from "./moveTable";
import { PlacementChoice, Placer } from "../placement/placer";
import { QueueHost } from "../waits/queueHost";
import { Run } from "./run";
import { Task } from "../jobs/task";
import { alignMembers, isGang } from "../jobs/taskGroups";
import { WaitingGroup } from "../waits/waitingGroup";
import { WorkerContact } from "../workers/workerContact";

/** How much faster a throttled task must run on another worker for a move, in percent of full speed. */
const MIN_SPEED_GAIN_PERCENT = 40;

/** Assigns a task to a chosen worker. */
export type AssignTask = (task: Task, choice: PlacementChoice) => void;

/** Moves throttled tasks to workers on which they run faster, and holds these workers until the former runs have ended. */
export class MoveController {
    private readonly moves = MoveTable.create();

    private constructor(private readonly host: QueueHost) {}

    /** @param host Stops the runs. @returns A controller without moves. */
    static create(host: QueueHost): MoveController {
        return new MoveController(host);
    }

    /** Gives up moves that take too long or whose destination is gone. @param workers Usable workers. @param now Time in ms. */
    prune(workers: readonly WorkerContact[], now: number): void {
        this.moves.prune(workers, now);
    }

    /** @returns Whether a worker is held for a task that moves there. */
    isHeld(worker: WorkerContact): boolean {
        return this.moves.isHeld(worker);
    }

    /**
     * Moves throttled tasks that run faster on another worker. Each worker is offered to one of them in a pass.
     * @param entry Tasks of a group whose runs are throttled.
     * @param placer Placer of the pass.
     * @param now Time in ms.
     */
    move(entry: WaitingGroup, placer: Placer, now: number): void {
        if (isGang(entry)) {
            this.moveGang(entry, placer, now);
            return;
        }
        for (const { run } of entry.tasks) {
            if (run !== undefined) {
                this.moveRun(run, entry.service, placer, now);
            }
        }
    }

    /**
     * Starts the moved tasks whose runs have ended where they are to run, and keeps room there for the others.
     * @param waiting What waits in the pass.
     * @param placer Placer of the pass.
     * @param assign Assigns a task.
     */
    finish(waiting: readonly WaitingGroup[], placer: Placer, assign: AssignTask): void {
        if (this.moves.isEmpty) {
            return;
        }
        const moving = new Set([...this.moves.all].map(([task]) => task.job.groupOf(task)));
        for (const { group, tasks, service, isThrottled } of waiting.filter(each => moving.has(each.group))) {
            const ended = isThrottled ? [] : tasks.filter(task => this.moves.destinationOf(task) !== undefined);
            const units = group.step.mode === "gang" && ended.length > 0 ? [tasks] : ended.map(task => [task]);
            units.forEach(unit => this.finishMove(unit, service, placer, assign));
        }
        for (const [task, worker] of this.moves.all) {
            placer.reserve(task, worker);
        }
    }

    private moveRun(run: Run, service: string, placer: Placer, now: number): void {
        const minSpeedPercent = run.speedPercent + MIN_SPEED_GAIN_PERCENT;
        if (placer.isInfeasible(run.task, service, minSpeedPercent)) {
            return;
        }
        const isAllowed = (worker: WorkerContact) =>
            worker.entry.id !== run.record.worker && !this.moves.isHeld(worker);
        const choice = placer.choose(run.task, service, isAllowed, minSpeedPercent);
        if (choice === undefined) {
            placer.recordRejection(run.task, service, minSpeedPercent);
            return;
        }
        placer.reserve(run.task, choice.worker);
        this.moves.add(run.task, choice.worker, now);
        this.host.move(run, now);
    }

    /** A gang works only together, so it moves if workers without its members have room for all of them. */
    private moveGang({ tasks, service }: WaitingGroup, placer: Placer, now: number): void {
        const runs = tasks.flatMap(task => task.run ?? []);
        const own = new Set(runs.map(run => run.record.worker));
        const isAllowed = (worker: WorkerContact) => !own.has(worker.entry.id) && !this.moves.isHeld(worker);
        const minSpeedPercent = Math.min(...runs.map(run => run.speedPercent)) + MIN_SPEED_GAIN_PERCENT;
        const chosen = placer.chooseAll(tasks, service, isAllowed, minSpeedPercent);
        if (chosen !== undefined) {
            chosen.forEach(({ worker }, index) => this.moves.add(tasks[index], worker, now));
            runs.forEach(run => this.host.move(run, now));
        }
    }

    private finishMove(tasks: readonly Task[], service: string, placer: Placer, assign: AssignTask): void {
        const workers = new Set(tasks.map(task => this.moves.destinationOf(task)));
        const chosen = placer.chooseAll(tasks, service, worker => workers.has(worker), 0);
        if (chosen !== undefined) {
            alignMembers(tasks);
            chosen.forEach((choice, index) => assign(tasks[index], choice));
        }
        tasks.forEach(task => this.moves.delete(task));
    }
}
