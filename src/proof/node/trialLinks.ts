import { TrialSchedule } from "./trialSchedule";

/** A network in which one host reaches some workers only, and the others reach the rest. */
interface Split {
    readonly host: string;
    readonly workers: ReadonlySet<string>;
    /** Time (ms) until which it is split. */
    readonly until: number;
}

/** The links from the instances to the workers of a trial. */
export class TrialLinks {
    /** Time (ms) until which a worker is cut off from the network, by worker id. */
    private readonly cutUntil = new Map<string, number>();
    /** Time (ms) until which the link to a worker is slow, by worker id. */
    private readonly slowUntil = new Map<string, number>();
    private latestSplit: Split | undefined;

    private constructor(private readonly schedule: TrialSchedule) {}

    /** @param schedule Clock of the trial. @returns Links that work. */
    static create(schedule: TrialSchedule): TrialLinks {
        return new TrialLinks(schedule);
    }

    /** Cuts a worker off from the network. @param durationMs Duration in ms. */
    cut(worker: string, durationMs: number): void {
        this.cutUntil.set(worker, this.schedule.now + durationMs);
    }

    /** Slows down the link to a worker. @param durationMs Duration in ms. */
    slowDown(worker: string, durationMs: number): void {
        this.slowUntil.set(worker, this.schedule.now + durationMs);
    }

    /**
     * Splits the network.
     * @param host Name of a host.
     * @param workers Workers that only it reaches; it reaches no others.
     * @param durationMs Duration in ms.
     */
    split(host: string, workers: readonly string[], durationMs: number): void {
        this.latestSplit = { host, workers: new Set(workers), until: this.schedule.now + durationMs };
    }

    /** @returns Whether a worker is cut off from the network. */
    isCut(worker: string): boolean {
        return this.schedule.now < (this.cutUntil.get(worker) ?? 0);
    }

    /** @returns Whether the link to a worker is slow. */
    isSlow(worker: string): boolean {
        return this.schedule.now < (this.slowUntil.get(worker) ?? 0);
    }

    /** @param sender Incarnation of an instance. @returns Whether it does not reach a worker. */
    isBroken(sender: string, worker: string): boolean {
        return this.isCut(worker) || this.isSplit(sender, worker);
    }

    private isSplit(sender: string, worker: string): boolean {
        if (this.latestSplit === undefined || this.schedule.now >= this.latestSplit.until) {
            return false;
        }
        const { host, workers } = this.latestSplit;
        return sender.startsWith(`${host}-`) !== workers.has(worker);
    }
}
