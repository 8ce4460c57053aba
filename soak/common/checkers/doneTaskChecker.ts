import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** A task does not start after its end `done` if that end is confirmed before or after the start. */
export class DoneTaskChecker extends RuleChecker {
    /** Ends `done` that no lapse of the worker's lease has followed: runs by worker and task. */
    private readonly doneRuns = new Map<number, Map<string, number>>();
    private readonly confirmed = new Set<string>();
    private readonly highestRuns = new Map<string, number>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): DoneTaskChecker {
        return new DoneTaskChecker("no-start-after-done", site);
    }

    override observe(event: SoakEvent): void {
        switch (event.kind) {
            case "run-started":
                this.check(
                    !this.confirmed.has(event.task),
                    event.atMs,
                    `${event.task} run ${event.run} starts after its end was confirmed`,
                );
                this.highestRuns.set(event.task, Math.max(event.run, this.highestRuns.get(event.task) ?? 0));
                break;
            case "run-ended":
                if (event.end === "done") {
                    const runs = this.doneRuns.get(event.worker) ?? new Map<string, number>();
                    this.doneRuns.set(event.worker, runs.set(event.task, event.run));
                }
                break;
            case "lease-lapsed":
            case "worker-ended":
                this.doneRuns.delete(event.worker);
                break;
            case "end-confirmed":
                this.confirm(event.worker, event.task, event.run, event.atMs);
        }
    }

    private confirm(worker: number, task: string, run: number, atMs: number): void {
        if (this.doneRuns.get(worker)?.get(task) === run) {
            this.confirmed.add(task);
            const highest = this.highestRuns.get(task) ?? 0;
            this.check(highest <= run, atMs, `${task} run ${run} is confirmed as done, but run ${highest} was started`);
        }
    }
}
