import { EffectSink } from "../../base/common/effectSink";
import { RunRecord } from "../../jobs/common/jobRecord";
import { DispatchTerms } from "./dispatchTerms";
import { DispatchEffect } from "./dispatchTraffic";
import { ContactState, WorkerContact } from "./workerContact";
import { WorkerEntry } from "./workerEntry";
import { ListedEnd, WorkerEvent } from "./workerTraffic";

/**
 * How long a worker waits for an end before it answers, in ms: also the age of the latencies that it reports. Each list
 * costs the leader about half a millisecond, so with many workers they are asked less often, within what the reaction to
 * a missed latency target allows.
 */
const MIN_LIST_WAIT_MS = 500;
const LIST_WAIT_PER_WORKER_MS = 4;
const MAX_LIST_WAIT_MS = 1_200;

/** Time between two lists of a worker that runs nothing, in ms. */
const IDLE_LIST_INTERVAL_MS = 1_200;

/** Time between two lists of a worker that does not answer, or whose ends are being recorded, in ms. */
const LIST_RETRY_INTERVAL_MS = 300;

/** Shortest time between two lists of a worker, in ms. */
const MIN_LIST_INTERVAL_MS = 25;

/** Time between two lists while a run is between two states, in ms. */
const TRANSIENT_LIST_INTERVAL_MS = 60;

/**
 * Starts that are stored or sent at once, at most. An answer takes some 50 ms, so this allows over 2,000 starts a second;
 * when answers take longer because the leader is slow, fewer are sent instead of having them all time out.
 */
const MAX_STARTS_IN_FLIGHT = 128;

/** States of runs that the next list settles. */
const TRANSIENT_STATES = new Set(["inherited", "unconfirmed", "stopping", "stopped"]);

/** Time after which a stop that was not confirmed is sent again, in ms. */
const STOP_RETRY_INTERVAL_MS = 800;

/** What the pool tells its owner of. */
export abstract class PoolHost {
    /** Whether leases may be extended now. */
    abstract mayExtend(now: number): boolean;

    /**
     * Told of an end that a worker lists; the owner says when it is recorded. `isLapseLater` tells whether the lease of
     * the worker's runs ran out after that end.
     */
    abstract onEndReported(worker: WorkerContact, end: ListedEnd, hasLaterLapse: boolean, now: number): void;

    /** Told that a worker was heard from. */
    abstract onRunList(worker: WorkerContact, now: number): void;

    /** Told that a worker knows a later epoch. */
    abstract onFenced(now: number): void;
}

/** The workers of one leader: who is listed, who answers, and what runs where. */
export class WorkerPool {
    private readonly contacts = new Map<string, WorkerContact>();

    private constructor(
        private readonly epoch: number,
        private readonly epochStartedAt: number,
        private readonly terms: DispatchTerms,
        private readonly host: PoolHost,
        private readonly effects: EffectSink<DispatchEffect>,
    ) {}

    /**
     * @param epoch Epoch of the leader.
     * @param epochStartedAt Time (ms) at which it began.
     * @param terms Limits of the deployment.
     * @param host Told of what happens.
     * @param effects Takes the calls.
     * @returns A pool without workers.
     */
    static create(
        epoch: number,
        epochStartedAt: number,
        terms: DispatchTerms,
        host: PoolHost,
        effects: EffectSink<DispatchEffect>,
    ): WorkerPool {
        return new WorkerPool(epoch, epochStartedAt, terms, host, effects);
    }

    /** All workers. */
    get all(): Iterable<WorkerContact> {
        return this.contacts.values();
    }

    /** Number of workers. */
    get size(): number {
        return this.contacts.size;
    }

    /** @returns How many more starts may be under way. */
    remainingStarts(): number {
        let count = MAX_STARTS_IN_FLIGHT;
        for (const worker of this.contacts.values()) {
            for (const run of worker.runs.values()) {
                count -= run.state === "assigned" || run.state === "starting" ? 1 : 0;
            }
        }
        return count;
    }

    /** @param id Identifier of a worker. @returns The worker, if it is known. */
    find(id: string): WorkerContact | undefined {
        return this.contacts.get(id);
    }

    /** Takes in a worker that the platform lists. @param now Time in ms. */
    register(entry: WorkerEntry, now: number): void {
        const known = this.contacts.get(entry.id);
        if (known !== undefined) {
            known.updateEntry(entry, now);
            return;
        }
        this.contacts.set(entry.id, WorkerContact.create(entry, this.epochStartedAt, this.terms.longestLeaseMs));
    }

    /** Takes in that the platform lists a worker no more. @param id Its identifier. */
    deregister(id: string): void {
        const contact = this.contacts.get(id);
        if (contact !== undefined) {
            contact.isRegistered = false;
        }
    }

    /**
     * Finds the worker that an earlier leader assigned a run to. One that is not listed any more is only waited for.
     * @param record The assignment.
     * @returns The worker.
     */
    findOrCreate(record: RunRecord): WorkerContact {
        const known = this.contacts.get(record.worker);
        if (known !== undefined) {
            return known;
        }
        const entry = deregisteredEntry(record);
        const contact = WorkerContact.create(entry, this.epochStartedAt, this.terms.longestLeaseMs);
        contact.isRegistered = false;
        this.contacts.set(record.worker, contact);
        return contact;
    }

    /** Asks for lists that are due, repeats stops, and gives up workers whose leases are over. @param now Time in ms. */
    tick(now: number): void {
        for (const worker of this.contacts.values()) {
            this.logTransition(worker, now, () => worker.tick(now));
            if (!worker.isRegistered && worker.runs.size === 0 && !worker.isListInFlight) {
                this.contacts.delete(worker.entry.id);
                continue;
            }
            this.retryStops(worker, now);
            if (!worker.isListInFlight && now >= worker.nextListAt && worker.entry.address !== "") {
                this.requestList(worker, now);
            }
        }
    }

    /** Takes an answer that carries the state of a worker. @returns The worker, if it is known. */
    handleAnswer(event: WorkerEvent, now: number): WorkerContact | undefined {
        const worker = this.contacts.get(event.worker);
        if (worker === undefined) {
            return undefined;
        }
        if (event.outcome === "fenced") {
            this.host.onFenced(now);
        } else if (event.outcome === "other-incarnation") {
            this.logTransition(worker, now, () => worker.markGone(now));
        } else if (event.clockMs !== undefined) {
            this.logTransition(worker, now, () => worker.updateClock(event.clockMs!, event.sentAt, now));
        }
        if (event.kind === "list-answer") {
            this.handleList(worker, event, now);
        }
        return worker;
    }

    /** Has a worker listed as soon as possible. */
    requestListSoon(worker: WorkerContact, now: number): void {
        worker.nextListAt = Math.min(worker.nextListAt, now);
    }

    private handleList(
        worker: WorkerContact,
        event: WorkerEvent & { readonly kind: "list-answer" },
        now: number,
    ): void {
        worker.isListInFlight = false;
        if (event.list === undefined) {
            if (event.outcome === "no-answer" || event.outcome === "unreachable") {
                this.logTransition(worker, now, () => worker.onNoAnswer(now));
            }
            worker.nextListAt = now + LIST_RETRY_INTERVAL_MS;
            return;
        }
        const { incarnation, running, ended } = event.list;
        if (incarnation !== undefined && !this.updateIncarnation(worker, incarnation, now)) {
            worker.nextListAt = now + LIST_RETRY_INTERVAL_MS;
            return;
        }
        worker.lastListSentAt = event.sentAt;
        worker.hasUnconfirmedEnds = ended.length > 0;
        for (const end of ended) {
            if (worker.processEnd(end)) {
                const hasLaterLapse = ended.some(other => other.end === "lapsed" && other.number > end.number);
                this.host.onEndReported(worker, end, hasLaterLapse, now);
            }
        }
        const present = new Set<string>();
        for (const listed of running) {
            present.add(listed.task);
            const run = worker.runs.get(listed.task);
            if (run?.record.run === listed.run) {
                run.recordReport(listed, now);
            } else {
                this.stopUnknown(worker, listed.task, listed.run);
            }
        }
        for (const run of [...worker.runs.values()]) {
            if (!present.has(run.task.name) && run.changedAt < event.sentAt) {
                run.fire("unlisted", { now });
            }
        }
        this.host.onRunList(worker, now);
        worker.nextListAt = now + listIntervalMs(worker);
    }

    private updateIncarnation(worker: WorkerContact, incarnation: number, now: number): boolean {
        const before = worker.incarnation;
        const isLatest = worker.updateIncarnation(incarnation, now);
        if (before !== undefined && worker.incarnation !== before) {
            const data = { worker: worker.entry.id, incarnation, before, runs: worker.runs.size };
            this.effects.emit({ kind: "decision", name: "worker-replaced", data });
        }
        return isLatest;
    }

    private requestList(worker: WorkerContact, now: number): void {
        const isBusy = worker.runs.size > 0;
        const isTransient = [...worker.runs.values()].some(run => TRANSIENT_STATES.has(run.state));
        // A list that is not answered may still be carried out, so a silent worker's lease is left to run out.
        const isReachable = worker.state === "reachable";
        worker.isListInFlight = true;
        this.effects.emit({
            kind: "list",
            worker: worker.entry,
            order: {
                epoch: this.epoch,
                leaseUntil:
                    isBusy && isReachable && this.host.mayExtend(now) ? worker.extendLeaseToMax(now) : undefined,
                // The worker may have started anew: the numbers of its former life would make it forget ends.
                recordedUpTo: isReachable && worker.hasUnconfirmedEnds ? worker.recordedUpTo : 0,
                waitMs: isBusy && !isTransient && isReachable ? this.listWaitMs() : 0,
            },
        });
    }

    private listWaitMs(): number {
        const wait = Math.max(MIN_LIST_WAIT_MS, this.contacts.size * LIST_WAIT_PER_WORKER_MS);
        return Math.min(MAX_LIST_WAIT_MS, Math.round(wait));
    }

    private retryStops(worker: WorkerContact, now: number): void {
        for (const run of worker.runs.values()) {
            if (run.state === "stopping" && now - run.changedAt > STOP_RETRY_INTERVAL_MS) {
                run.changedAt = now;
                run.fire("stop-due", { now });
            }
        }
    }

    /** A run that the leader does not know there cannot be continued: its task is over, or runs elsewhere. */
    private stopUnknown(worker: WorkerContact, task: string, run: number): void {
        this.effects.emit({ kind: "stop", worker: worker.entry, order: { task, run, epoch: this.epoch } });
    }

    /** Logs a change of contact. */
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

function listIntervalMs(worker: WorkerContact): number {
    if (worker.hasUnrecordedEnds) {
        return LIST_RETRY_INTERVAL_MS;
    }
    if (worker.runs.size === 0) {
        return IDLE_LIST_INTERVAL_MS;
    }
    return [...worker.runs.values()].some(run => TRANSIENT_STATES.has(run.state))
        ? TRANSIENT_LIST_INTERVAL_MS
        : MIN_LIST_INTERVAL_MS;
}

function deregisteredEntry(record: RunRecord): WorkerEntry {
    return {
        id: record.worker,
        incarnation: record.incarnation,
        service: "",
        address: "",
        failureDomain: "",
        state: "ready",
        warmupLeftMs: 0,
        capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        labels: [],
        rack: "",
    };
}
