import { LeasedWorker } from "../../standin/common/leasedWorker";
import { LIMITS } from "./jobTrialPlan";
import { OrderSenders } from "./orderSenders";
import { TrialSchedule } from "./trialSchedule";

/** Checks that no task starts for too long after the store has accepted that its worker leaves. */
export class DrainChecker {
    /** Time (ms) at which the store accepted the first entry with which a worker announced that it leaves. */
    private readonly announcedAt = new Map<LeasedWorker, number>();
    private readonly senders: OrderSenders;

    private constructor(
        private readonly schedule: TrialSchedule,
        private readonly report: (detail: string) => void,
    ) {
        this.senders = OrderSenders.create(schedule);
    }

    /** @param schedule Clock of the trial. @param report Receives violations. @returns A checker without observations. */
    static create(schedule: TrialSchedule, report: (detail: string) => void): DrainChecker {
        return new DrainChecker(schedule, report);
    }

    /** Number of workers that have announced that they leave. */
    get count(): number {
        return this.announcedAt.size;
    }

    /** Records that the store accepted the entry of a worker. */
    recordEntry(worker: LeasedWorker): void {
        if (worker.entry.state === "draining" && !this.announcedAt.has(worker)) {
            this.announcedAt.set(worker, this.schedule.now);
        }
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
        const ageMs = Math.round(this.schedule.now - (this.announcedAt.get(worker) ?? Number.POSITIVE_INFINITY));
        const sender = this.senders.senderInTouch(task, run);
        if (sender !== undefined && ageMs > LIMITS.drainMs) {
            this.report(
                `${task} run ${run} is started by n${sender} on ${worker.entry.id} ${ageMs} ms after its notice`,
            );
        }
    }
}
