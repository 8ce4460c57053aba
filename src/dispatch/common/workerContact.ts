import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { TaskRequest } from "../../jobs/common/jobSpec";
import { WorkerClock } from "../../scheduling/common/workerClock";
import { WorkerTrust } from "../../scheduling/common/workerTrust";
import { LEASE_MARGIN_MS, LEASE_RENEWAL_WINDOW_MS } from "./dispatchTerms";
import { Run } from "./run";
import chartText from "./workerContact.chart.yaml";
import { WorkerEntry } from "./workerEntry";
import { ListedEnd } from "./workerTraffic";

/** Contact of the leader with a worker. */
export type ContactState = "unmet" | "reachable" | "silent" | "vacant";
type ContactEvent = "answered" | "unanswered" | "replaced" | "gone" | "lease-over";
type ContactAction = "loseRuns" | "replaceRuns";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ContactState, ContactEvent, never, ContactAction>(chartText, "workerContact.chart.yaml", {
        states: ["unmet", "reachable", "silent", "vacant"],
        events: ["answered", "unanswered", "replaced", "gone", "lease-over"],
        guards: [],
        actions: ["loseRuns", "replaceRuns"],
    }),
);

/** How long a worker that fails all tasks is left out before it is tried with one task, in ms. */
const EXCLUSION_DURATION = { shortestMs: 2_500, longestMs: 20_000 };

/**
 * Time for which a silent worker's runs are waited for after their lease, in ms, while the platform lists the worker: it
 * lives, and will tell how they ended. A worker that is lost is delisted after 4.5 s, sooner than a lease runs out.
 */
const REGISTERED_GRACE_MS = 3_000;

/** How far a worker's clock may be behind before it is taken to have started anew, in ms: more than it can be slow. */
const MAX_CLOCK_LAG_MS = 500;

/** What a worker has been given and what is left of it. */
export interface FreeCapacity {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
    /** Processor time that is neither reserved nor requested by runs that use spare time; may be negative. */
    readonly unrequestedCpuMillis: number;
}

/** One worker as the leader knows it. */
export class WorkerContact {
    private readonly machine: Machine<number, ContactState, ContactEvent, never, ContactAction>;
    private clock: WorkerClock | undefined;
    /** Incarnation that the latest list named. */
    private latestIncarnation: number | undefined;
    /** Latest reading of the worker's clock (ms) up to which this leader let it run tasks. */
    private leaseUntil = 0;
    private processedUpTo = 0;
    private readonly unrecorded = new Set<number>();

    /** Runs by task that may be on the worker. */
    readonly runs = new Map<string, Run>();
    readonly trust = WorkerTrust.create(EXCLUSION_DURATION);
    /** Whether the platform lists the worker. */
    isRegistered = true;
    /** Whether a list is on its way, and when the next one is due (ms). */
    isListInFlight = false;
    nextListAt = 0;
    /** Time (ms) at which the latest answered list was asked for. */
    lastListSentAt: number | undefined;
    /** Ends up to this number are recorded. */
    recordedUpTo = 0;
    /** Whether its latest list had ends, which it keeps until they are confirmed. */
    hasUnconfirmedEnds = false;
    /** Time (ms) from which it may leave, once it drains. */
    leavesAt: number | undefined;
    /** Whether the worker's rejections say that it has less room than was computed, up to this time (ms). */
    backoffUntil = 0;

    private constructor(
        private latestEntry: WorkerEntry,
        private readonly epochStartedAt: number,
        private readonly longestLeaseMs: number,
    ) {
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                loseRuns: now => this.fireAll("lost", now),
                replaceRuns: now => this.fireAll("replaced", now),
            },
        });
    }

    /**
     * @param entry The worker as the platform lists it.
     * @param epochStartedAt Time (ms) at which this leader's epoch began.
     * @param longestLeaseMs Longest lease that the worker accepts, in ms.
     * @returns A worker without contact.
     */
    static create(entry: WorkerEntry, epochStartedAt: number, longestLeaseMs: number): WorkerContact {
        return new WorkerContact(entry, epochStartedAt, longestLeaseMs);
    }

    /** The worker as the platform listed it last. */
    get entry(): WorkerEntry {
        return this.latestEntry;
    }

    /** Contact with the worker. */
    get state(): ContactState {
        return this.machine.state;
    }

    /** Whether it may be given tasks. */
    isUsable(now: number): boolean {
        return (
            this.state === "reachable" &&
            this.isRegistered &&
            this.latestEntry.state === "ready" &&
            now >= this.backoffUntil &&
            this.trust.state !== "excluded" &&
            (this.trust.state !== "trial" || !this.hasTrialRun())
        );
    }

    /** Takes in a change of the platform's list. @param now Time in ms. */
    updateEntry(entry: WorkerEntry, now: number): void {
        if (entry.incarnation < this.latestEntry.incarnation) {
            return;
        }
        this.latestEntry = entry;
        this.isRegistered = true;
        this.leavesAt = entry.state === "draining" ? (this.leavesAt ?? now + (entry.drainLeftMs ?? 0)) : undefined;
    }

    /**
     * Takes in the incarnation that a list names. Only a list tells what the new life runs, so nothing is concluded from
     * the platform's list.
     * @param incarnation When the worker's life began, in ms since the Unix epoch.
     * @param now Time in ms.
     * @returns Whether the list is of the latest life.
     */
    updateIncarnation(incarnation: number, now: number): boolean {
        const isNewer = this.latestIncarnation !== undefined && incarnation > this.latestIncarnation;
        if (this.latestIncarnation !== undefined && incarnation < this.latestIncarnation) {
            return false;
        }
        this.latestIncarnation = incarnation;
        if (isNewer) {
            this.resetEndNumbers();
            this.machine.fire("replaced", now);
        }
        return true;
    }

    /** Notes that another worker answers at the address. @param now Time in ms. */
    markGone(now: number): void {
        this.isRegistered = false;
        this.resetEndNumbers();
        this.machine.fire("gone", now);
    }

    /**
     * Notes a reading of the worker's clock.
     * @param reading Reading in ms.
     * @param sentAt Time (ms) at which the order that it answers was sent: the reading is later than that, however long
     * the answer took.
     * @param now Time in ms.
     */
    updateClock(reading: number, sentAt: number, now: number): void {
        const expected = this.clockReadingIn(0, sentAt);
        if (expected !== undefined && reading < expected - MAX_CLOCK_LAG_MS) {
            // The ends of a new life are numbered anew: none of them has been recorded.
            this.resetEndNumbers();
        }
        if (this.clock === undefined) {
            // Up to now an earlier leader may have extended the lease; from now on the worker rejects its orders.
            this.leaseUntil = reading + this.longestLeaseMs;
        }
        this.clock = WorkerClock.create(String(this.latestEntry.incarnation), reading, now);
        this.leaseUntil = Math.min(this.leaseUntil, reading + this.longestLeaseMs);
        this.machine.fire("answered", now);
    }

    /** Notes that an order was not answered. @param now Time in ms. */
    onNoAnswer(now: number): void {
        this.machine.fire("unanswered", now);
    }

    /** Takes back the loss of contact or finds that all leases are over. @param now Time in ms. */
    tick(now: number): void {
        if (this.isLeaseExpired(now, this.isRegistered ? REGISTERED_GRACE_MS : 0)) {
            this.machine.fire("lease-over", now);
        } else if (this.state === "silent" && this.isLeaseExpired(now, 0)) {
            this.loseLongRunning(now);
        }
        this.trust.tick(now);
    }

    /** @returns Reading of the worker's clock (ms) that lies this far ahead, or `undefined` before the first answer. */
    clockReadingIn(ms: number, now: number): number | undefined {
        return this.clock === undefined ? undefined : Math.round(this.clock.estimate(now) + ms);
    }

    /**
     * Notes that an order lets the worker run tasks up to a reading of its clock.
     * @param reading The reading in ms.
     * @returns The same reading.
     */
    extendLeaseTo(reading: number | undefined): number | undefined {
        this.leaseUntil = Math.max(this.leaseUntil, reading ?? 0);
        return reading;
    }

    /** @returns Reading of the worker's clock (ms) up to which its lease can be extended. */
    extendLeaseToMax(now: number): number | undefined {
        return this.extendLeaseTo(this.clockReadingIn(this.longestLeaseMs - LEASE_MARGIN_MS, now));
    }

    /**
     * Takes an end that the worker lists.
     * @param end The end.
     * @returns Whether it was not taken before.
     */
    processEnd(end: ListedEnd): boolean {
        if (end.number <= this.processedUpTo) {
            return false;
        }
        this.processedUpTo = end.number;
        this.unrecorded.add(end.number);
        return true;
    }

    /** Notes that an end is recorded, so that the worker may forget it once all earlier ones are recorded, too. */
    markRecorded(number: number, incarnation: number | undefined): void {
        if (incarnation !== this.latestIncarnation || !this.unrecorded.delete(number)) {
            return;
        }
        const first = Math.min(...this.unrecorded);
        this.recordedUpTo = this.unrecorded.size === 0 ? this.processedUpTo : first - 1;
    }

    /** Incarnation that the latest list named, in ms since the Unix epoch. */
    get incarnation(): number | undefined {
        return this.latestIncarnation;
    }

    /** Whether ends are being recorded. */
    get hasUnrecordedEnds(): boolean {
        return this.unrecorded.size > 0;
    }

    private resetEndNumbers(): void {
        this.processedUpTo = 0;
        this.recordedUpTo = 0;
        this.unrecorded.clear();
    }

    /** @returns What is left of the worker's capacity. */
    freeCapacity(): FreeCapacity {
        const { capacity } = this.latestEntry;
        let { cpuMillis, memoryMb, accelerators } = capacity;
        let unrequestedCpuMillis = cpuMillis;
        for (const { task } of this.runs.values()) {
            const { request, usesSpareCpu } = task.step;
            unrequestedCpuMillis -= request.cpuMillis;
            cpuMillis -= usesSpareCpu ? 0 : request.cpuMillis;
            memoryMb -= request.memoryMb;
            accelerators -= request.accelerators;
        }
        return { cpuMillis, memoryMb, accelerators, unrequestedCpuMillis };
    }

    /** @returns Whether a request fits into what is left. */
    fits(request: TaskRequest, usesSpareCpu: boolean, free: FreeCapacity): boolean {
        return (
            (usesSpareCpu || request.cpuMillis <= free.cpuMillis) &&
            request.memoryMb <= free.memoryMb &&
            request.accelerators <= free.accelerators
        );
    }

    /** Until the worker has answered, an earlier leader may have extended its lease for as long as it had the right to. */
    private isLeaseExpired(now: number, graceMs: number): boolean {
        const margin = LEASE_MARGIN_MS + graceMs;
        if (this.clock === undefined) {
            return now > this.epochStartedAt + LEASE_RENEWAL_WINDOW_MS + this.longestLeaseMs * 1.02 + margin;
        }
        return now > this.clock.passedBy(this.leaseUntil) + margin;
    }

    /** What lasts has ended with the lease in any case. */
    private loseLongRunning(now: number): void {
        [...this.runs.values()]
            .filter(run => run.task.step.mode === "long-running")
            .forEach(run => run.fire("lost", { now }));
    }

    /** What lasts was there before the worker was excluded, and tells nothing of it now. */
    private hasTrialRun(): boolean {
        return [...this.runs.values()].some(run => run.task.step.mode !== "long-running");
    }

    private fireAll(event: "lost" | "replaced", now: number): void {
        [...this.runs.values()].forEach(run => run.fire(event, { now }));
    }
}
