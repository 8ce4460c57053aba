import { BOUNDS, LASTING_GRACE_MS, MAX_IDLE_MS } from "../bounds";
import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { jobIdOf, SoakEvent } from "../soakEvent";

/** Number of workers that must have room for a task that lasts. */
const MIN_WORKERS_WITH_ROOM = 2;

/** A task that lasts has a run again in time after its last one, when the site is calm and has room. */
export class LastingRunChecker extends RuleChecker {
    /** Time (ms) since which a task has been without a run. */
    private readonly endedAt = new Map<string, number>();
    private readonly reported = new Set<string>();
    private longestMs = 0;

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): LastingRunChecker {
        return new LastingRunChecker("lasting-run", site);
    }

    /** Longest time without a run since the last call, in ms. */
    takeLongestGapMs(): number {
        const longestMs = this.longestMs;
        this.longestMs = 0;
        return Math.round(longestMs);
    }

    /** Tasks without a run. */
    get idle(): number {
        return this.endedAt.size;
    }

    override observe(event: SoakEvent): void {
        switch (event.kind) {
            case "run-started":
                this.review(event.task, event.atMs);
                this.endedAt.delete(event.task);
                this.reported.delete(event.task);
                break;
            case "run-ended":
                if (this.site.stepOf(event.task)?.longRunning === true && this.site.runsOf(event.task).length === 0) {
                    this.endedAt.set(event.task, event.atMs);
                }
                break;
            case "tick":
                [...this.endedAt.keys()].forEach(task => this.review(task, event.atMs));
        }
    }

    private review(task: string, atMs: number): void {
        const endedAt = this.endedAt.get(task);
        if (endedAt === undefined || this.site.cancelled.has(jobIdOf(task))) {
            return;
        }
        const idleMs = atMs - endedAt;
        this.longestMs = Math.max(this.longestMs, idleMs);
        const calmMs = this.site.calmMs(atMs);
        const isDue = idleMs > LASTING_GRACE_MS + MAX_IDLE_MS && calmMs > BOUNDS.stableWindowMs + MAX_IDLE_MS;
        if (isDue && !this.reported.has(task)) {
            const room = this.site.countRoomFor(this.site.stepOf(task)!);
            if (room >= MIN_WORKERS_WITH_ROOM) {
                this.reported.add(task);
                const detail = `${task} is without a run for ${Math.round(idleMs)} ms, ${Math.round(calmMs)} ms of them in calm, ${room} workers have room`;
                this.check(false, atMs, detail);
            }
        }
    }
}
