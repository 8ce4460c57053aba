import { ChartLoader } from "../../../base/common/chartLoader";
import { ChartRegistry } from "../../../base/common/chartRegistry";
import { Machine } from "../../../base/common/machine";
import { TaskRequest } from "../../../jobs/common/jobSpec";
import { WorkerClock } from "../../../scheduling/common/workerClock";
import { WorkerTrust } from "../../../scheduling/common/workerTrust";
import { LEASE_MARGIN_MS, MAX_ORDER_AGE_MS } from "../scheduler/dispatchLimits";
import { Run } from "../runs/run";
import chartText from "./workerContact.chart.yaml";
import { ExclusionCause } from "./workerCensus";
import { EntryReading, WorkerEntry } from "./workerEntry";
import { LeaseBasis, WorkerLease } from "./workerLease";
import { ListedEnd, OrderOutcome, startKeyOf } from "./workerMessages";

/** State of the leader's contact with a worker. */
export type ContactState = "uncontacted" | "reachable" | "silent" | "vacant";
type ContactEvent = "answered" | "unanswered" | "replaced" | "gone" | "lease-expired";
type ContactAction = "loseRuns" | "replaceRuns";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ContactState, ContactEvent, never, ContactAction>(chartText, "workerContact.chart.yaml", {
        states: ["uncontacted", "reachable", "silent", "vacant"],
        events: ["answered", "unanswered", "replaced", "gone", "lease-expired"],
        guards: [],
        actions: ["loseRuns", "replaceRuns"],
    }),
);

/** Time for which a worker that fails all tasks is excluded before it is tried with one task, in ms. */
const EXCLUSION_DURATION = { minMs: 2_500, maxMs: 20_000 };

/**
 * Time after lease expiry before the runs of a silent worker are given up, in ms, while the worker is registered: it is
 * probably alive and will report how they ended. A lost worker is deregistered after 4.5 s, before a lease expires.
 */
const REGISTERED_GRACE_PERIOD_MS = 3_000;

/**
 * Time after which an entry that is not renewed expires, in ms: three heartbeats. Until then, entries of earlier incarnations
 * are late writes.
 */
const ENTRY_LIFETIME_MS = 4_500;

/**
 * Time for which a worker may answer a new leader before its runs are given up, in ms, if its lease has expired by then: it may state how
 * they have ended.
 */
const FIRST_ANSWER_MS = 1_000;

/**
 * Time after a worker has stopped answering from which its entry must have been written to show that it is up, in ms: what it sent
 * before may be stored late.
 */
const MIN_RENEWAL_MS = 2_000;

/** Time for which a worker must seem unlisted before it counts as silent, in ms: a loop that was late handles answers within it. */
const UNLISTED_GRACE_MS = 500;

/** How far drift may put a worker's clock behind its estimate, in ms; a clock further behind shows a restart. */
const MAX_CLOCK_LAG_MS = 500;

/**
 * Reading of a worker's clock from which an answer to a start proves the incarnation, in ms. A later incarnation began after the
 * latest answer of this one, and a start is answered within 0.8 s in the queue and a call of 2.4 s, so its clock shows less.
 */
const MIN_PROVING_CLOCK_MS = 10_000;

/**
 * Number of ends that a worker keeps from which it gets no tasks. Some ends can never be confirmed, and a list contains
 * only the first ends that the worker keeps.
 */
const MAX_KEPT_ENDS = 250;

/**
 * Time for which a worker that rejected a start gets no tasks, in ms, by why it rejected it. For one that is full it is about
 * the duration of a short task.
 */
const REJECTION_BACKOFF_MS: Partial<Record<OrderOutcome, number>> = { "no-room": 200, unhealthy: 1_000 };

/** Capacity of a worker that is not allocated. */
export interface FreeCapacity {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
    /** CPU that is neither reserved nor requested by best-effort runs; may be negative. */
    readonly unrequestedCpuMillis: number;
}

/** The leader's view of one worker: reachability, clock, lease, runs and reported ends. */
export class WorkerContact {
    private readonly machine: Machine<number, ContactState, ContactEvent, never, ContactAction>;
    private clock: WorkerClock | undefined;
    /** Incarnation in the latest list. */
    private latestIncarnation: number | undefined;
    /** Time (ms) at which its first list arrived. */
    private listedSince = Number.NEGATIVE_INFINITY;
    /** Reading of the worker's clock (ms) up to which this leader has let it run tasks. */
    private leaseUntil = 0;
    /** Reading of the worker's clock (ms) up to which an earlier leader may have let it run tasks, by what it accepts. */
    private formerLeaseUntil = 0;
    /** Ends up to this number were processed. */
    private processedUpTo = 0;
    /** Numbers of the processed ends that are not stored yet. */
    private readonly unrecorded = new Set<number>();

    /** Runs that may be on the worker, by task. */
    readonly runs = new Map<string, Run>();
    readonly trust = WorkerTrust.create(EXCLUSION_DURATION);
    /** Whether the worker is registered in service discovery. */
    isRegistered = true;
    /** Whether a list request is in flight. */
    isListInFlight = false;
    /** Time (ms) at which the latest list was requested; answers to earlier requests may still arrive. */
    listRequestedAt = Number.NEGATIVE_INFINITY;
    /** Time (ms) at which the next list is due. */
    nextListAt = 0;
    /** Whether lists may be requested; not before the first one of a new leader has its turn. */
    mayList = true;
    /** Time (ms) at which the latest list that was answered was requested. */
    lastListSentAt: number | undefined;
    /** Ends up to this number are stored. */
    recordedUpTo = 0;
    /** Number of the first end in the latest list, or `undefined` if it had none: the worker keeps unconfirmed ends. */
    private firstKeptEnd: number | undefined;
    private keptEndCount = 0;
    /** Time (ms) since which nothing listens at its address: its process has ended by then. Unknown if undefined. */
    refusedAt: number | undefined;
    /** Time (ms) at which its latest list arrived, and the time by which it has left a list unanswered since, if it has. */
    heardAt: number | undefined;
    /** Time from the list before the latest one to that one, in ms: an end in it was at most this old when it arrived. */
    listGapMs: number | undefined;
    private unansweredBy: number | undefined;
    /** Time (ms) since which it seems unlisted. */
    private unlistedSince: number | undefined;
    /** Earliest time (ms) at which it may leave, if it is draining. */
    leavesAt: number | undefined;
    /** Time (ms) before which it is given no tasks, after it rejected a start as full or unhealthy. */
    private backoffUntil = 0;
    /** Time (ms) before which no stop was ordered that is not confirmed. */
    oldestStopAt = Number.NEGATIVE_INFINITY;
    /** Whether its latest list has runs that are not among `runs`; they are being stopped. */
    hasUnknownRuns = false;
    /** Time (ms) after which its entry was certainly written, if known. */
    entryWrittenAfter: number | undefined;
    /** Whether the latest list request was not answered. */
    private isListUnanswered = false;
    /** Time (ms) at which its entry was read. */
    private entryReadAt: number;
    /** Whether a list that was requested after its entry was read states an earlier incarnation: the entry is false. */
    private isEntryRefuted = false;
    /** Latest reading of its entry, if it was ignored as one of an earlier incarnation. */
    private ignoredEntry: EntryReading | undefined;

    private constructor(
        private latestEntry: WorkerEntry,
        private readonly lease: WorkerLease,
        private readonly longestLeaseMs: number,
        /** Time (ms) since which this leader knows the worker. */
        private readonly knownSince: number,
    ) {
        this.entryReadAt = knownSince;
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                loseRuns: now => this.fireAll("lost", now),
                replaceRuns: now => this.fireAll("replaced", now),
            },
        });
    }

    /**
     * @param entry The worker's entry in service discovery.
     * @param lease The worker's lease, also beyond this leader's epoch.
     * @param longestLeaseMs Longest lease that the worker accepts, in ms.
     * @param now Time (ms) at which the entry was read.
     * @returns A worker that has not been contacted yet.
     */
    static create(entry: WorkerEntry, lease: WorkerLease, longestLeaseMs: number, now: number): WorkerContact {
        return new WorkerContact(entry, lease, longestLeaseMs, now);
    }

    /** Latest entry of the worker in service discovery. */
    get entry(): WorkerEntry {
        return this.latestEntry;
    }

    /** State of the leader's contact with the worker. */
    get state(): ContactState {
        return this.machine.state;
    }

    /** Whether it has answered this leader. */
    get hasAnswered(): boolean {
        return this.clock !== undefined;
    }

    /** Whether its entry is that of the incarnation in the latest list, which may be of another kind, and says that it is ready. */
    get isReady(): boolean {
        return this.latestEntry.state === "ready" && this.isOfListedIncarnation;
    }

    /** Whether its entry and its latest list state the same incarnation, as far as both state one. */
    get isOfListedIncarnation(): boolean {
        const { incarnation } = this.latestEntry;
        return incarnation === 0 || incarnation === (this.latestIncarnation ?? incarnation);
    }

    /** Gives the worker no tasks for some time after it has rejected a start. @param outcome Why. @param now Time in ms. */
    backOff(outcome: OrderOutcome, now: number): void {
        this.backoffUntil = Math.max(this.backoffUntil, now + (REJECTION_BACKOFF_MS[outcome] ?? 0));
    }

    /** Whether it may be given tasks. */
    isUsable(now: number): boolean {
        return this.exclusionCause(now) === undefined;
    }

    /** @param now Time in ms. @returns Why it may not be given tasks, or `undefined` if it may. */
    exclusionCause(now: number): ExclusionCause | undefined {
        if (!this.isRegistered || this.latestEntry.state !== "ready") {
            return this.isRegistered ? "draining" : "deregistered";
        }
        if (this.state !== "reachable") {
            return this.hasAnswered ? "silent" : "uncontacted";
        }
        if (!this.isOfListedIncarnation) {
            return "otherIncarnation";
        }
        if (now < this.backoffUntil) {
            return "rejecting";
        }
        if (!this.mayExtendLease) {
            return "leaseRecorded";
        }
        return this.keptEndCount < MAX_KEPT_ENDS ? this.distrustCause : "manyEnds";
    }

    private get distrustCause(): ExclusionCause | undefined {
        if (this.trust.state === "excluded") {
            return "distrusted";
        }
        return this.trust.state === "trial" && this.hasTrialRun() ? "onTrial" : undefined;
    }

    /**
     * Applies a reading of the worker's entry in service discovery. One of an earlier incarnation is ignored, unless the entry
     * before it is false or was not renewed.
     * @param now Time in ms.
     */
    updateEntry(reading: EntryReading, now: number): void {
        const { entry, writtenAfter } = reading;
        const isEarlier = entry.incarnation < this.latestEntry.incarnation;
        if (isEarlier && !this.isEntryRefuted && now - this.entryReadAt < ENTRY_LIFETIME_MS) {
            this.ignoredEntry = reading;
            return;
        }
        this.ignoredEntry = undefined;
        this.latestEntry = entry;
        this.entryReadAt = now;
        this.isEntryRefuted = false;
        // An entry of unknown age is at least as new as the one before it.
        this.entryWrittenAfter = writtenAfter ?? this.entryWrittenAfter;
        this.isRegistered = true;
        // A leader inherits runs before it has read where their workers are.
        for (const run of this.runs.values()) {
            run.rack ||= entry.rack;
        }
        // Each entry may be read late, so the earliest of these times is the closest.
        const leavesAt = Math.min(this.leavesAt ?? Number.POSITIVE_INFINITY, now + (entry.drainLeftMs ?? 0));
        this.leavesAt = entry.state === "draining" ? leavesAt : undefined;
    }

    /** @param now Time in ms. @returns Upper bound of the age of its entry, in ms, or `undefined` if there is none. */
    entryAgeMs(now: number): number | undefined {
        return this.entryWrittenAfter === undefined ? undefined : Math.ceil(now - this.entryWrittenAfter);
    }

    /**
     * Records the incarnation that a run list states. One that only service discovery states is ignored, since only a
     * list shows what runs.
     * @param incarnation When the worker started, in ms since the Unix epoch: earlier than before if its time of day has jumped back.
     * @param sentAt Time (ms) at which the list was requested.
     * @param now Time in ms.
     * @returns Whether the list is from the latest incarnation.
     */
    updateIncarnation(incarnation: number, sentAt: number, now: number): boolean {
        this.isEntryRefuted = incarnation < this.latestEntry.incarnation && sentAt > this.entryReadAt;
        if (!this.isOfLatest(incarnation, sentAt)) {
            return false;
        }
        if (incarnation !== this.latestIncarnation) {
            const isReplaced = this.latestIncarnation !== undefined;
            this.latestIncarnation = incarnation;
            this.listedSince = now;
            if (isReplaced) {
                this.resetEndNumbers();
                this.machine.fire("replaced", now);
            }
        }
        if (this.isEntryRefuted && this.isRegistered && this.ignoredEntry?.entry.incarnation === incarnation) {
            this.updateEntry(this.ignoredEntry, now);
        }
        return true;
    }

    /**
     * @param incarnation Incarnation that a list states.
     * @param sentAt Time (ms) at which the list was requested.
     * @returns Whether the list is not from a former incarnation: a request that was sent once the latest one was heard of cannot be
     * answered by one before it.
     */
    isOfLatest(incarnation: number, sentAt: number): boolean {
        return incarnation === (this.latestIncarnation ?? incarnation) || sentAt >= this.listedSince;
    }

    /** Handles an answer of another worker at the address. @param now Time in ms. */
    markGone(now: number): void {
        this.isRegistered = false;
        this.resetEndNumbers();
        this.machine.fire("gone", now);
    }

    /**
     * Records a reading of the worker's clock.
     * @param reading Reading in ms.
     * @param sentAt Time (ms) at which the answered order was sent: a lower bound for when the clock was read, however
     * long the answer took.
     * @param now Time in ms.
     * @param receivedAt Time (ms) at which the answer arrived: an upper bound for when the clock was read. A loop that is late
     * handles it later, which says nothing about the clock.
     */
    updateClock(reading: number, sentAt: number, now: number, receivedAt = now): void {
        const expected = this.clockReadingIn(0, sentAt);
        if (expected !== undefined && reading < expected - MAX_CLOCK_LAG_MS) {
            // A new incarnation numbers its ends from the start again, and none of them is stored yet.
            this.resetEndNumbers();
        }
        if (this.clock === undefined) {
            // An earlier leader may have extended the lease until now; from now on the worker rejects its orders.
            this.formerLeaseUntil = reading + this.longestLeaseMs;
        }
        this.clock = WorkerClock.create(String(this.latestEntry.incarnation), reading, receivedAt);
        this.leaseUntil = Math.min(this.leaseUntil, reading + this.longestLeaseMs);
        this.formerLeaseUntil = Math.min(this.formerLeaseUntil, reading + this.longestLeaseMs);
        this.isListUnanswered = false;
        this.machine.fire("answered", now);
    }

    /** Records that a list of the latest incarnation has arrived. @param receivedAt Time in ms. */
    recordList(receivedAt: number): void {
        this.listGapMs = this.heardAt === undefined ? undefined : Math.round(receivedAt - this.heardAt);
        this.heardAt = receivedAt;
        this.unansweredBy = undefined;
    }

    /** @param now Time in ms. @returns Time since its latest list arrived, in ms, or `undefined` if this leader has had none. */
    silentMs(now: number): number | undefined {
        return this.heardAt === undefined ? undefined : Math.round(now - this.heardAt);
    }

    /** @param now Time in ms. @returns Time (ms) by which it had stopped answering, if it has been lost. */
    silentBy(now: number): number {
        return this.unansweredBy ?? now;
    }

    /** Whether its entry shows that it was up long after it had stopped answering: it is out of reach, and no run has crashed it. */
    get isOutOfReach(): boolean {
        const { incarnation } = this.latestEntry;
        const renewedBy = this.entryWrittenAfter ?? Number.NEGATIVE_INFINITY;
        const isRenewed = renewedBy >= (this.unansweredBy ?? Number.POSITIVE_INFINITY) + MIN_RENEWAL_MS;
        return this.isRegistered && isRenewed && incarnation === this.latestIncarnation;
    }

    /** Handles an order that was not answered. @param now Time in ms. */
    onNoAnswer(now: number): void {
        this.isListUnanswered = true;
        this.unansweredBy ??= now;
        this.machine.fire("unanswered", now);
    }

    /**
     * Marks a reachable worker as silent if its runs have lost their lease since no list has arrived. It may answer other orders, or these
     * may keep its list from being sent.
     * @param now Time in ms.
     */
    reviewListing(now: number): void {
        if (!this.isUnlisted(now)) {
            this.unlistedSince = undefined;
            return;
        }
        this.unlistedSince ??= now;
        if (now - this.unlistedSince >= UNLISTED_GRACE_MS) {
            this.onNoAnswer(now);
        }
    }

    /** @param now Time in ms. @returns Whether a list of it has arrived within the longest lease. */
    wasListedOfLate(now: number): boolean {
        return now - (this.heardAt ?? this.knownSince) <= this.longestLeaseMs;
    }

    private isUnlisted(now: number): boolean {
        const isLate = !this.wasListedOfLate(now) && this.isLeaseExpired(now, 0);
        return isLate && [...this.runs.values()].some(run => run.isSent);
    }

    /** Gives up the runs whose lease has expired. @param now Time in ms. */
    giveUpRuns(now: number): void {
        if (this.isGivenUp(now)) {
            this.machine.fire("lease-expired", now);
        } else {
            this.expiredRuns(now).forEach(run => run.fire("lost", { now }));
        }
    }

    /**
     * @param now Time in ms.
     * @returns The runs that `giveUpRuns` gives up, since the lease of a worker that does not answer has expired.
     * Long-running tasks end with the lease in any case, so they need no grace period.
     */
    expiredRuns(now: number): Run[] {
        const runs = [...this.runs.values()];
        if (this.isGivenUp(now)) {
            return runs;
        }
        const isExpired = this.isAwaitedInVain(now) && this.isLeaseExpired(now, 0);
        return isExpired ? runs.filter(run => run.task.step.mode === "long-running") : [];
    }

    /** @returns Lower bound of the worker's clock in this many ms, in ms, or `undefined` before the first answer. */
    clockReadingIn(ms: number, now: number): number | undefined {
        return this.clock === undefined ? undefined : Math.round(this.clock.minReadingAt(now) + ms);
    }

    /**
     * @param run One of its runs.
     * @returns Whether it may have carried out the start of the run before it was last heard of. If not, it may have been lost
     * before it got the order.
     */
    canHaveStarted(run: Run): boolean {
        const { unansweredSince } = run;
        return unansweredSince === undefined || (this.lastListSentAt ?? Number.NEGATIVE_INFINITY) > unansweredSince;
    }

    /** Whether it cannot be reached: it left a list unanswered, or has no address. */
    get isUnreachable(): boolean {
        return this.state !== "reachable" && (this.isListUnanswered || this.latestEntry.address === "");
    }

    /** Whether its lease may be extended: no record says that it is not. */
    get mayExtendLease(): boolean {
        return this.lease.mayExtend;
    }

    /** Time (ms) by which its lease has certainly expired if it is not extended again. */
    get leaseEndsBy(): number {
        const { formerEndsBy } = this.lease;
        if (this.clock === undefined) {
            return formerEndsBy;
        }
        const formerEnd = Math.min(formerEndsBy, this.clock.latestTimeOf(this.formerLeaseUntil));
        return Math.max(formerEnd, this.clock.latestTimeOf(this.leaseUntil));
    }

    /** What shows when its lease ends. */
    get leaseBasis(): LeaseBasis {
        return this.clock === undefined ? this.lease.basis : "extended";
    }

    /**
     * Records that an order lets the worker run tasks up to a reading of its clock.
     * @param reading The reading in ms.
     * @returns The same reading, or `undefined` if the lease may not be extended.
     */
    extendLeaseTo(reading: number | undefined): number | undefined {
        if (!this.mayExtendLease) {
            return undefined;
        }
        this.leaseUntil = Math.max(this.leaseUntil, reading ?? 0);
        return reading;
    }

    /**
     * Extends the lease to the longest that the worker accepts and the leader's right allows, less a margin.
     * @param until Time (ms) up to which leases may be extended.
     * @param now Time in ms.
     * @returns Reading of the worker's clock (ms) up to which it is extended, or `undefined` if it may not be.
     */
    extendLeaseToMax(until: number, now: number): number | undefined {
        const leaseMs = Math.min(this.longestLeaseMs, until - now) - LEASE_MARGIN_MS;
        return leaseMs <= 0 ? undefined : this.extendLeaseTo(this.clockReadingIn(leaseMs, now));
    }

    /** Whether the latest list had ends: the worker keeps them until they are confirmed, and answers lists at once. */
    get hasKeptEnds(): boolean {
        return this.firstKeptEnd !== undefined;
    }

    /** Records which ends the worker keeps. @param ends The ends in its list. */
    updateKeptEnds(ends: readonly ListedEnd[]): void {
        this.firstKeptEnd = ends.length === 0 ? undefined : Math.min(...ends.map(each => each.number));
        this.keptEndCount = ends.length;
    }

    /**
     * Marks an end in the worker's list as processed, but not stored yet.
     * @param end The end.
     * @returns Whether the end is new.
     */
    processEnd(end: ListedEnd): boolean {
        if (end.number <= this.processedUpTo) {
            return false;
        }
        this.processedUpTo = end.number;
        this.unrecorded.add(end.number);
        return true;
    }

    /** Marks an end as stored. The worker may forget it once all earlier ones are stored, too. */
    markRecorded(number: number, incarnation: number | undefined): void {
        if (incarnation !== this.latestIncarnation || !this.unrecorded.delete(number)) {
            return;
        }
        const first = Math.min(...this.unrecorded);
        this.recordedUpTo = this.unrecorded.size === 0 ? this.processedUpTo : first - 1;
    }

    /**
     * Whether the ends that are recorded may be confirmed. Their numbers are those of the incarnation in the latest list.
     * If the worker has restarted since, a start that is not known to be on the listed one may run there, and the confirmation
     * would make the new incarnation forget its end. Starts that are not answered are left to the `ConfirmationGate`. An inherited run
     * that is not listed may have ended behind the ends in the list, which has further ones only once these are confirmed.
     */
    canConfirmEnds(now: number): boolean {
        const isKnown = (run: Run) => run.report !== undefined || run.isStartProven || isStartPending(run);
        return (
            this.state === "reachable" &&
            this.hasConfirmableEnds &&
            [...this.runs.values()].every(run => isKnown(run) || isInheritedLongAgo(run, now))
        );
    }

    /** Starts, by `startKeyOf`, that are ordered and whose answers are not handled yet. */
    get unansweredStarts(): string[] {
        const starting = [...this.runs.values()].filter(run => run.state === "starting");
        return starting.map(run => startKeyOf(run.record));
    }

    /**
     * @param now Time in ms.
     * @returns Reading (ms) that the clock of the listed incarnation has passed, or `undefined` while it is so young that the
     * answer of a later incarnation could show it, too.
     */
    provingClockMs(now: number): number | undefined {
        const reading = this.clock?.minReadingAt(now);
        const isKnown = reading !== undefined && this.latestIncarnation !== undefined;
        return isKnown && reading >= MIN_PROVING_CLOCK_MS ? Math.floor(reading) : undefined;
    }

    /** Whether the worker keeps ends that are recorded. */
    private get hasConfirmableEnds(): boolean {
        return this.firstKeptEnd !== undefined && this.recordedUpTo >= this.firstKeptEnd;
    }

    /** Incarnation in the latest list, in ms since the Unix epoch. */
    get incarnation(): number | undefined {
        return this.latestIncarnation;
    }

    /** Whether processed ends are not stored yet. */
    get hasUnrecordedEnds(): boolean {
        return this.unrecorded.size > 0;
    }

    private resetEndNumbers(): void {
        this.processedUpTo = 0;
        this.recordedUpTo = 0;
        this.unrecorded.clear();
    }

    /** @returns Capacity of the worker less the requests of its runs. */
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

    /** Whether its runs request more than its capacity, which has shrunk since they were placed. */
    get isOvercommitted(): boolean {
        const { cpuMillis, memoryMb, accelerators } = this.freeCapacity();
        return cpuMillis < 0 || memoryMb < 0 || accelerators < 0;
    }

    /** @param label A label, or `undefined` if none is required. @returns Whether the worker has it. */
    hasLabel(label: string | undefined): boolean {
        return label === undefined || this.latestEntry.labels.includes(label);
    }

    /** @returns Whether a request fits into the free capacity. */
    fits(request: TaskRequest, usesSpareCpu: boolean, free: FreeCapacity): boolean {
        return (
            (usesSpareCpu || request.cpuMillis <= free.cpuMillis) &&
            request.memoryMb <= free.memoryMb &&
            request.accelerators <= free.accelerators
        );
    }

    /** @param now Time in ms. @returns Whether all of its runs are given up: it does not answer, and its lease has expired. */
    isGivenUp(now: number): boolean {
        const graceMs = this.isRegistered ? REGISTERED_GRACE_PERIOD_MS : 0;
        return this.isAwaitedInVain(now) && this.isLeaseExpired(now, graceMs);
    }

    private isAwaitedInVain(now: number): boolean {
        const wasCalled = this.isUnreachable || now - this.knownSince >= FIRST_ANSWER_MS;
        return this.state !== "reachable" && wasCalled;
    }

    private isLeaseExpired(now: number, graceMs: number): boolean {
        const minMs = LEASE_MARGIN_MS + graceMs;
        // A clock that is read after the lease shows no earlier end of it than the time of the reading.
        const reading = this.clock?.minReadingAt(now) ?? Number.NEGATIVE_INFINITY;
        return now > this.leaseEndsBy + minMs || reading > Math.max(this.leaseUntil, this.formerLeaseUntil) + minMs;
    }

    /**
     * Ignores runs that say nothing about the worker now: long-running tasks, which were started before the exclusion, and
     * paused runs, which may not end for a long time.
     */
    private hasTrialRun(): boolean {
        return [...this.runs.values()].some(run => run.task.step.mode !== "long-running" && !run.isPaused);
    }

    private fireAll(event: "lost" | "replaced", now: number): void {
        [...this.runs.values()].forEach(run => run.fire(event, { now }));
    }
}

/** Whether a run was inherited so long ago that its start is not carried out any more. */
function isInheritedLongAgo(run: Run, now: number): boolean {
    return run.state === "inherited" && now - run.assignedAt > MAX_ORDER_AGE_MS;
}

/** Whether the start of a run is not sent yet, or not answered. */
function isStartPending(run: Run): boolean {
    return run.state === "assigned" || run.state === "starting";
}
