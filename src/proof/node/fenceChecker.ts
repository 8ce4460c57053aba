import { WorkerEffect } from "../../dispatch/common/workers/workerMessages";
import { LeasedWorker } from "../../standin/common/leasedWorker";

/** What one incarnation of a worker has accepted. */
interface AcceptedFences {
    /** The instance whose orders it has accepted, by their fence. */
    readonly senders: Map<number, string>;
    highest: number;
}

/** Checks that each fence that a worker accepts is of one leader, and that none is lower than one before it. */
export class FenceChecker {
    private readonly workers = new Map<LeasedWorker, AcceptedFences>();

    private constructor(private readonly report: (detail: string) => void) {}

    /** @param report Receives what happened in a violation. @returns A checker without observations. */
    static create(report: (detail: string) => void): FenceChecker {
        return new FenceChecker(report);
    }

    /**
     * Records that a worker accepts an order.
     * @param worker The incarnation of the worker.
     * @param sender The incarnation of the instance that has sent the order.
     * @param effect The order.
     */
    recordAccepted(worker: LeasedWorker, sender: string, effect: WorkerEffect): void {
        const { fence } = effect.order;
        const { id } = worker.entry;
        const accepted = this.workers.get(worker) ?? { senders: new Map<number, string>(), highest: fence };
        this.workers.set(worker, accepted);
        if (fence < accepted.highest) {
            this.report(`${id} accepts fence ${fence} of ${sender} after ${accepted.highest}`);
        }
        accepted.highest = Math.max(accepted.highest, fence);
        if (isProbe(effect)) {
            return;
        }
        const first = accepted.senders.get(fence) ?? sender;
        accepted.senders.set(fence, first);
        if (first !== sender) {
            this.report(`${id} accepts fence ${fence} of ${sender} and of ${first}`);
        }
    }
}

/** @returns Whether an order only asks for the fence that a worker has seen, with that of a former leader. */
function isProbe(effect: WorkerEffect): boolean {
    return effect.kind === "list" && effect.order.isProbe === true && effect.order.leaseUntil === undefined;
}
