import { EffectSink } from "../../../base/common/effectSink";
import { RunRecord } from "../../../jobs/common/jobRecord";
import { DispatchLimits } from "../scheduler/dispatchLimits";
import { DispatchEffect } from "../scheduler/dispatchEffects";
import { FenceAuthority } from "./fenceAuthority";
import { FenceProbe } from "./fenceProbe";
import { FirstLists } from "./firstLists";
import { LateStartTable } from "../runs/lateStartTable";
import { LeaseBook } from "./leaseBook";
import { LIST_RETRY_INTERVAL_MS, listIntervalMs, listWaitMs, TRANSIENT_STATES } from "./listInterval";
import { LossReporter } from "./lossReporter";
import { Run } from "../runs/run";
import { StartLoad, StartWindow } from "../runs/startWindow";
import { ContactState, WorkerContact } from "./workerContact";
import { deregisteredEntry, EntryReading } from "./workerEntry";
import { ListedEnd, RunList, WorkerEvent } from "./workerMessages";

/**
 * Limit on starts that are being stored or sent: this many, or one for each worker if these are more. An answer takes
 * about 50 ms, so this allows over 2,000 starts per second. When the leader is slow and answers take longer, it sends
 * fewer starts instead of letting all of them time out.
 */
const MIN_STARTS_IN_FLIGHT = 128;

/** Minimum interval between two lists of one worker, in ms for each worker: bounds the lists per second. */
const LIST_INTERVAL_PER_WORKER_MS = 0.5;

/** Time after which an unconfirmed stop is sent again, in ms. */
const STOP_RETRY_INTERVAL_MS = 800;

/**
 * How a worker and all its runs were lost. `restarted`: it has a new incarnation. `replaced`: another worker answers at
 * its address. `lease-expired`: it did not answer until its lease had expired.
 */
export type WorkerLossCause = "restarted" | "replaced" | "lease-expired";

/** Host of a worker pool, notified of what the workers report. */
export abstract class PoolHost {
    /**
     * Called for each new end in a worker's list; the host calls `markRecorded` once the end is stored.
     * @param worker The worker.
     * @param end The end.
     * @param hasLaterLapse Whether the worker's lease expired after that end.
     * @param now Time in ms.
     */
    abstract onEndReported(worker: WorkerContact, end: ListedEnd, hasLaterLapse: boolean, now: number): void;

    /** Called when the list of a worker was processed. */
    abstract onRunList(worker: WorkerContact, now: number): void;

    /**
     * Called when a worker was lost that was not leaving, before its runs end.
     * @param worker The worker.
     * @param runs The runs that were lost with it; not empty.
     * @param cause How it was lost.
     */
    abstract onWorkerLost(worker: WorkerContact, runs: readonly Run[], cause: WorkerLossCause): void;

    /** Called when a worker rejects an order because it knows a later epoch. */
    abstract onFenced(now: number): void;
}

/** The workers of one leader: which are registered, which answer, and what each runs. */
export class WorkerPool {
    private readonly contacts = new Map<string, WorkerContact>();
    private readonly firstLists = FirstLists.create();
    private readonly startWindow = StartWindow.create();
    /** Median delay of the leader's loop, in ms. */
    private loopDelayMs = 0;
    private readonly probe: FenceProbe;
    private readonly losses = LossReporter.create((...loss) => this.host.onWorkerLost(...loss));
    private readonly lateStarts = LateStartTable.create((worker, task, run) => this.sendStop(worker, task, run));

    private constructor(
        private readonly authority: FenceAuthority,
        private readonly leases: LeaseBook,
        private readonly limits: DispatchLimits,
        private readonly host: PoolHost,
        private readonly effects: EffectSink<DispatchEffect>,
    ) {
        this.probe = FenceProbe.create(authority.formerRenewal, epoch => authority.recordUnraised(epoch));
    }

    /**
     * @param authority The right of the leader to send orders.
     * @param leases Leases of the workers, also beyond the epoch.
     * @param limits Limits of the deployment.
     * @param host Notified of ends, lists and later epochs.
     * @param effects Sink for the orders to workers.
     * @returns A pool without workers.
     */
    static create(
        authority: FenceAuthority,
        leases: LeaseBook,
        limits: DispatchLimits,
        host: PoolHost,
        effects: EffectSink<DispatchEffect>,
    ): WorkerPool {
        return new WorkerPool(authority, leases, limits, host, effects);
    }

    /** All workers. */
    get all(): Iterable<WorkerContact> {
        return this.contacts.values();
    }

    /** Number of workers. */
    get size(): number {
        return this.contacts.size;
    }

    /** Number of workers with runs. */
    get busyCount(): number {
        let count = 0;
        for (const worker of this.contacts.values()) {
            count += worker.runs.size > 0 ? 1 : 0;
        }
        return count;
    }

    /** Whether workers with runs have not answered this leader yet. */
    get isAwaitingFirstAnswers(): boolean {
        return [...this.contacts.values()].some(worker => worker.state === "uncontacted" && worker.runs.size > 0);
    }

    /** @returns How many more starts may be in flight. */
    remainingStarts(): number {
        return this.startWindow.limitOf(this.maxStartsInFlight) - this.startsInFlight;
    }

    /**
     * Adapts the number of starts in flight, and the wait of lists, to how busy the leader is.
     * @param delayMs Median delay of its loop, in ms.
     * @param intervalMs Interval between two choices of workers, in ms.
     * @param now Time in ms.
     */
    reviewPace(delayMs: number, intervalMs: number, now: number): void {
        this.loopDelayMs = delayMs;
        this.startWindow.review({ delayMs, intervalMs }, now);
    }

    /** Starts in flight, and how many may be. */
    get startLoad(): StartLoad {
        const { startsInFlight: inFlight, startWindow } = this;
        return { inFlight, window: startWindow.limitOf(this.maxStartsInFlight), tookMs: startWindow.medianMs };
    }

    /** Median time from the choice of a worker to the answer to the start, in ms; `undefined` if none was answered of late. */
    get startMs(): number | undefined {
        return this.startWindow.medianMs;
    }

    private get startsInFlight(): number {
        let count = 0;
        for (const worker of this.contacts.values()) {
            for (const run of worker.runs.values()) {
                count += run.state === "assigned" || run.state === "starting" ? 1 : 0;
            }
        }
        return count;
    }

    private get maxStartsInFlight(): number {
        return Math.max(MIN_STARTS_IN_FLIGHT, this.contacts.size);
    }

    /** @param id Identifier of a worker. @returns The worker, if it is known. */
    find(id: string): WorkerContact | undefined {
        return this.contacts.get(id);
    }

    /**
     * Adds a worker, or updates its entry.
     * @param reading Its entry in service discovery.
     * @param now Time in ms.
     * @returns The worker.
     */
    register(reading: EntryReading, now: number): WorkerContact {
        const { entry, writtenAfter } = reading;
        const known = this.contacts.get(entry.id);
        if (known !== undefined) {
            const { incarnation } = known.entry;
            known.updateEntry(reading, now);
            if (!known.isOfListedIncarnation) {
                // A list in flight may be lost with the former incarnation.
                known.isListInFlight &&= known.entry.incarnation <= incarnation;
                this.requestListSoon(known, now);
            }
            return known;
        }
        const contact = WorkerContact.create(entry, this.leases.find(entry.id), this.limits.longestLeaseMs, now);
        contact.entryWrittenAfter = writtenAfter;
        this.contacts.set(entry.id, contact);
        return contact;
    }

    /** Marks a worker as deregistered; it is removed when it has no runs. @param id Its identifier. */
    deregister(id: string): void {
        const contact = this.contacts.get(id);
        if (contact !== undefined) {
            contact.isRegistered = false;
        }
    }

    /** Removes the workers of other shards, on which nothing was started. @param isOwn Whether a worker stays. */
    release(isOwn: (id: string) => boolean): void {
        [...this.contacts.keys()].filter(id => !isOwn(id)).forEach(id => this.contacts.delete(id));
        this.firstLists.retain(isOwn);
    }

    /** Deregisters all workers but these. */
    retain(ids: ReadonlySet<string>): void {
        [...this.contacts.keys()].filter(id => !ids.has(id)).forEach(id => this.deregister(id));
    }

    /** Handles a suspension of the process: entries of the workers are of any age, and so are answers. */
    handleSuspension(): void {
        this.probe.handleSuspension();
        this.contacts.forEach(worker => (worker.entryWrittenAfter = undefined));
    }

    /**
     * Finds the worker to which an earlier leader assigned a run.
     * @param record The assignment.
     * @returns The worker; one that is not registered gets no orders, and its runs are kept until their lease expires.
     */
    findOrCreate(record: RunRecord): WorkerContact {
        const known = this.contacts.get(record.worker);
        if (known !== undefined) {
            return known;
        }
        const entry = deregisteredEntry(record.worker, record.incarnation);
        const { leases, limits } = this;
        const lease = leases.find(entry.id);
        const contact = WorkerContact.create(entry, lease, limits.longestLeaseMs, leases.epochStartedAt);
        contact.isRegistered = false;
        this.contacts.set(record.worker, contact);
        return contact;
    }

    /**
     * Spreads the first lists of all workers, witnesses and those with inherited runs first, of these the ones whose lease ends first.
     * @param isPrepared Whether the former leader has worked until now.
     */
    spreadFirstLists(isPrepared = false): void {
        const isProbed = (worker: WorkerContact) => this.probe.fenceFor(worker.entry.id) !== undefined;
        this.firstLists.spread([...this.contacts.values()], isProbed, isPrepared);
    }

    /** Requests lists that are due, retries stops, and gives up runs whose lease has expired. @param now Time in ms. */
    tick(now: number): void {
        this.leases.tick(this.contacts, now);
        this.lateStarts.prune(now);
        this.firstLists.releaseNext();
        for (const worker of this.contacts.values()) {
            this.logTransition(worker, now, () => worker.reviewListing(now));
            if (worker.state !== "reachable") {
                this.losses.reportExpiry(worker, now);
                this.logTransition(worker, now, () => worker.giveUpRuns(now));
            }
            worker.trust.tick(now);
            if (!worker.isRegistered && worker.runs.size === 0 && !worker.isListInFlight) {
                this.contacts.delete(worker.entry.id);
                continue;
            }
            this.retryStops(worker, now);
            const isDue = now >= worker.nextListAt || this.authority.isAwaited(worker.entry.id);
            if (isDue && worker.mayList && !worker.isListInFlight && worker.entry.address !== "") {
                this.requestNext(worker, now);
            }
        }
    }

    /** Updates a worker from its answer. @returns The worker, if it is known. */
    handleAnswer(event: WorkerEvent, now: number): WorkerContact | undefined {
        const worker = this.contacts.get(event.worker);
        if (worker === undefined) {
            return undefined;
        }
        if (event.kind === "list-answer" && event.order.isProbe === true) {
            this.handleProbe(worker, event, now);
            return worker;
        }
        if (event.outcome === "fenced") {
            // An order that was sent before this leader raised its fence says nothing of a later epoch.
            if (event.order.fence === this.authority.fence) {
                this.host.onFenced(now);
            }
        } else if (event.outcome === "other-incarnation") {
            this.handleReplacement(worker, now);
        } else if (event.clockMs !== undefined) {
            this.logTransition(worker, now, () =>
                worker.updateClock(event.clockMs!, event.sentAt, now, event.receivedAt),
            );
        }
        if (event.kind === "list-answer") {
            this.handleList(worker, event, now);
        } else if (event.kind === "start-answer") {
            this.recordStartAnswer(worker, event, now);
        } else if (event.kind === "stop-answer" && event.outcome === "done") {
            this.lateStarts.confirmStop(worker, event.order);
        }
        return worker;
    }

    /** Requests the next list of a worker as soon as the number of workers allows. */
    requestListSoon(worker: WorkerContact, now: number): void {
        const earliest = (worker.lastListSentAt ?? 0) + this.contacts.size * LIST_INTERVAL_PER_WORKER_MS;
        worker.nextListAt = Math.min(worker.nextListAt, Math.max(now, earliest));
    }

    private recordStartAnswer(
        worker: WorkerContact,
        { order, outcome, sentAt }: WorkerEvent & { readonly kind: "start-answer" },
        now: number,
    ): void {
        const run = worker.runs.get(order.task);
        const assignedAt = run?.record.run === order.run ? run.assignedAt : sentAt;
        this.startWindow.recordAnswer({ outcome, tookMs: now - assignedAt }, this.maxStartsInFlight, now);
        if (outcome === "no-answer") {
            this.lateStarts.add(worker.entry.id, order, now);
        }
    }

    /** Another worker answers at the address. */
    private handleReplacement(worker: WorkerContact, now: number): void {
        this.losses.reportReplacement(worker);
        this.logTransition(worker, now, () => worker.markGone(now));
    }

    private handleMissingList(worker: WorkerContact, { outcome }: WorkerEvent, now: number): void {
        if (outcome === "unreachable") {
            worker.refusedAt ??= now;
        }
        if (outcome === "no-answer" || outcome === "unreachable") {
            this.logTransition(worker, now, () => worker.onNoAnswer(now));
        }
        worker.nextListAt = now + LIST_RETRY_INTERVAL_MS;
    }

    private handleList(
        worker: WorkerContact,
        event: WorkerEvent & { readonly kind: "list-answer" },
        now: number,
    ): void {
        const isLatest = event.sentAt >= worker.listRequestedAt;
        worker.isListInFlight &&= !isLatest;
        if (event.list === undefined && !isLatest) {
            return;
        }
        if (event.list === undefined) {
            this.handleMissingList(worker, event, now);
            return;
        }
        const { running, ended } = event.list;
        if (!this.updateIncarnation(worker, event.list, event.sentAt, now)) {
            worker.nextListAt = now + LIST_RETRY_INTERVAL_MS;
            return;
        }
        worker.lastListSentAt = event.sentAt;
        worker.recordList(event.receivedAt ?? now);
        this.recordWitness(worker, event);
        worker.refusedAt = undefined;
        worker.updateKeptEnds(ended);
        for (const end of ended) {
            if (worker.processEnd(end)) {
                const hasLaterLapse = ended.some(other => other.end === "lapsed" && other.number > end.number);
                this.host.onEndReported(worker, end, hasLaterLapse, now);
            }
        }
        worker.hasUnknownRuns = false;
        const present = new Set<string>();
        for (const listed of running) {
            present.add(listed.task);
            const run = worker.runs.get(listed.task);
            if (run?.record.run === listed.run) {
                run.recordReport(listed, now);
            } else {
                worker.hasUnknownRuns = true;
                this.sendStop(worker, listed.task, listed.run);
            }
        }
        for (const run of [...worker.runs.values()]) {
            if (!present.has(run.task.name) && run.changedAt < event.sentAt && event.list.hasMoreEnds !== true) {
                run.fire("unlisted", { now });
            }
        }
        this.lateStarts.review(worker, now);
        this.host.onRunList(worker, now);
        worker.nextListAt = now + listIntervalMs(worker);
    }

    /** A list shows which incarnation has accepted the order, and whose clock it states. */
    private recordWitness(
        worker: WorkerContact,
        { order, clockMs, sentAt, receivedAt = worker.heardAt! }: WorkerEvent & { readonly kind: "list-answer" },
    ): void {
        const { id, failureDomain } = worker.entry;
        const { incarnation } = worker;
        if (order.fence === this.authority.fence) {
            this.probe.recordAccepted(id, incarnation, receivedAt);
        }
        if (incarnation !== undefined) {
            this.authority.recordWorkerAnswer({ id, incarnation, fence: order.fence, sentAt, receivedAt });
            if (clockMs !== undefined) {
                this.leases.clocks.record({ id, incarnation, failureDomain }, clockMs, sentAt, receivedAt);
            }
        }
    }

    /** @returns Whether a list is of the latest incarnation, as far as it states one. */
    private updateIncarnation(worker: WorkerContact, list: RunList, sentAt: number, now: number): boolean {
        const { incarnation } = list;
        if (incarnation === undefined) {
            return true;
        }
        const previous = worker.incarnation;
        if (worker.isOfLatest(incarnation, sentAt)) {
            this.losses.reportRestart(worker, { ...list, incarnation }, now);
        }
        const isLatest = worker.updateIncarnation(incarnation, sentAt, now);
        if (previous !== undefined && worker.incarnation !== previous) {
            const data = { worker: worker.entry.id, incarnation, before: previous, runs: worker.runs.size };
            this.effects.emit({ kind: "decision", name: "worker-replaced", data });
        }
        return isLatest;
    }

    /** Requests the next list, or learns which fence the worker has seen before it sees that of this leader. */
    private requestNext(worker: WorkerContact, now: number): void {
        const { id } = worker.entry;
        const fence = this.probe.fenceFor(id);
        if (fence === undefined) {
            this.requestList(worker, now);
            return;
        }
        worker.isListInFlight = true;
        worker.listRequestedAt = now;
        this.probe.recordAsked(id);
        const order = { fence, recordedUpTo: 0, waitMs: 0, isProbe: true };
        this.effects.emit({ kind: "list", worker: worker.entry, order });
    }

    private handleProbe(
        worker: WorkerContact,
        event: WorkerEvent & { readonly kind: "list-answer" },
        now: number,
    ): void {
        const { outcome, list, sentAt } = event;
        this.probe.recordAnswer(worker.entry.id, outcome, list?.incarnation, sentAt);
        if (sentAt < worker.listRequestedAt) {
            return;
        }
        worker.isListInFlight = false;
        if (outcome === "done" || outcome === "fenced") {
            this.requestList(worker, now);
            return;
        }
        if (outcome === "other-incarnation") {
            this.handleReplacement(worker, now);
        }
        this.handleMissingList(worker, event, now);
    }

    private requestList(worker: WorkerContact, now: number): void {
        const isBusy = worker.runs.size > 0;
        const isTransient = [...worker.runs.values()].some(run => TRANSIENT_STATES.has(run.state));
        // A request without an answer may still be executed, so a silent worker's lease is not extended and expires.
        const isReachable = worker.state === "reachable";
        const isConfirming = worker.canConfirmEnds(now);
        // A worker that keeps ends answers at once, and starts wait until a confirmation is answered.
        const isHurried = worker.hasKeptEnds || this.authority.isAwaited(worker.entry.id);
        const mayWait = isBusy && !isTransient && isReachable && worker.mayExtendLease && !isHurried;
        worker.isListInFlight = true;
        worker.listRequestedAt = now;
        this.effects.emit({
            kind: "list",
            worker: worker.entry,
            order: {
                fence: this.authority.fence,
                leaseUntil: isBusy && isReachable ? this.extendLease(worker, now) : undefined,
                recordedUpTo: isConfirming ? worker.recordedUpTo : 0,
                unansweredStarts: isConfirming ? worker.unansweredStarts : undefined,
                waitMs: mayWait ? listWaitMs(worker, this.contacts.size, this.loopDelayMs, now) : 0,
            },
        });
    }

    /** A worker whose lists do not count may run anything, so its lease is left to expire. */
    private extendLease(worker: WorkerContact, now: number): number | undefined {
        const until = worker.wasListedOfLate(now) ? this.authority.leasesMayLastUntil : undefined;
        return until === undefined ? undefined : worker.extendLeaseToMax(until, now);
    }

    /** A stop that is ordered after this review is due one interval after it at the earliest. */
    private retryStops(worker: WorkerContact, now: number): void {
        if (now - worker.oldestStopAt <= STOP_RETRY_INTERVAL_MS) {
            return;
        }
        worker.oldestStopAt = now;
        for (const run of worker.runs.values()) {
            if (run.state === "stopping") {
                if (now - run.changedAt > STOP_RETRY_INTERVAL_MS) {
                    run.changedAt = now;
                    run.fire("stop-due", { now });
                }
                worker.oldestStopAt = Math.min(worker.oldestStopAt, run.changedAt);
            }
        }
    }

    /** Stops a run that the leader does not know on this worker, or does not want there: its task has ended or runs elsewhere. */
    private sendStop(worker: WorkerContact, task: string, run: number): void {
        this.effects.emit({ kind: "stop", worker: worker.entry, order: { task, run, fence: this.authority.fence } });
    }

    /** Applies an update and logs the change of the worker's state, if any. */
    private logTransition(worker: WorkerContact, now: number, update: () => void): void {
        const before = worker.state;
        const runs = worker.runs.size;
        update();
        const name = worker.state === before ? undefined : CONTACT_DECISIONS[worker.state];
        if (name !== undefined && before !== "uncontacted") {
            const age = worker.lastListSentAt === undefined ? undefined : Math.round(now - worker.lastListSentAt);
            const data = { worker: worker.entry.id, from: before, runs, listAgeMs: age };
            this.effects.emit({ kind: "decision", name, data });
        }
    }
}

const CONTACT_DECISIONS: Partial<Record<ContactState, "worker-back" | "worker-silent" | "worker-vacant">> = {
    reachable: "worker-back",
    silent: "worker-silent",
    vacant: "worker-vacant",
};
