import { LeasedWorker } from "../../standin/common/leasedWorker";
import { OrderSenders } from "./orderSenders";
import { TrialSchedule } from "./trialSchedule";

/** Time after the store has accepted an evacuation from which no task starts in the failure domain, unless a plan has another, in ms. */
export const EVACUATION_MS = 5_000;

/** Checks that no task starts for too long in a failure domain that is evacuated. */
export class EvacuationChecker {
    /** Time (ms) at which the store accepted the request, by failure domain. */
    private readonly requestedAt = new Map<string, number>();
    private readonly senders: OrderSenders;
    /** Time (ms) at which the first domain was taken back after all had been evacuated, until a task starts. */
    private takenBackAt: number | undefined;
    /** Number of evacuations. */
    count = 0;
    /** Longest time from then to the next start of a task, in ms. */
    longestWaitMs = 0;

    private constructor(
        private readonly schedule: TrialSchedule,
        private readonly boundMs: number,
        private readonly report: (detail: string) => void,
    ) {
        this.senders = OrderSenders.create(schedule);
    }

    /**
     * @param schedule Clock of the trial.
     * @param boundMs Time after a request from which no task starts, in ms; `EVACUATION_MS` if undefined.
     * @param report Receives violations.
     * @returns A checker without observations.
     */
    static create(
        schedule: TrialSchedule,
        boundMs: number | undefined,
        report: (detail: string) => void,
    ): EvacuationChecker {
        return new EvacuationChecker(schedule, boundMs ?? EVACUATION_MS, report);
    }

    /** Records that the store accepted an evacuation. */
    recordRequest(failureDomain: string): void {
        this.count += 1;
        this.requestedAt.set(failureDomain, this.schedule.now);
    }

    /** Records that the store accepted that a domain is taken back. @param wereAll Whether all domains were evacuated. */
    recordEnd(failureDomain: string, wereAll: boolean): void {
        this.requestedAt.delete(failureDomain);
        this.takenBackAt ??= wereAll ? this.schedule.now : undefined;
    }

    /** Records a disruption of instances. @param durationMs How long it lasts, in ms. @param instances Their numbers. */
    recordDisruption(durationMs: number, instances: readonly number[]): void {
        this.senders.recordDisruption(durationMs, instances);
    }

    /** Records that an instance sends an order to start. @param sender Number of the instance. */
    recordOrder(task: string, run: number, sender: number): void {
        this.senders.recordOrder(task, run, sender);
    }

    /** Handles the start of a run. */
    onStart(worker: LeasedWorker, task: string, run: number): void {
        const { id, failureDomain } = worker.entry;
        const ageMs = Math.round(this.schedule.now - (this.requestedAt.get(failureDomain) ?? Number.POSITIVE_INFINITY));
        const sender = this.senders.senderInTouch(task, run);
        if (sender !== undefined && ageMs > this.boundMs) {
            this.report(
                `${task} run ${run} is started by n${sender} on ${id} ${ageMs} ms after ${failureDomain} was evacuated`,
            );
        }
        if (this.takenBackAt !== undefined) {
            this.longestWaitMs = Math.max(this.longestWaitMs, this.schedule.now - this.takenBackAt);
            this.takenBackAt = undefined;
        }
    }
}
