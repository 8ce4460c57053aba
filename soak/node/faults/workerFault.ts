import { PlannedFault } from "../../common/plannedFault";
import { SoakSite } from "../soakSite";
import { WorkerServer } from "../workerServer";
import { Fault } from "./fault";

/** How a worker that crashes comes back: under its ID, under a new one at the same address, or not at all. */
type WorkerReturn = "same-id" | "new-id" | "never";

/** Time from the return of a worker under a new ID to the removal of its former registration, in ms. */
const REMOVAL_DELAY_MS = 2_500;

/** Workers crash. */
export class WorkerFault extends Fault {
    override readonly isCalmInBetween = true;
    private readonly crashed = new Map<PlannedFault, readonly WorkerServer[]>();

    private constructor(private readonly workerReturn: WorkerReturn) {
        super();
    }

    /** @param workerReturn How the workers come back. @returns The fault. */
    static create(workerReturn: WorkerReturn): WorkerFault {
        return new WorkerFault(workerReturn);
    }

    override begin(site: SoakSite, fault: PlannedFault): readonly string[] {
        const workers = fault.targets.map(index => site.workers[index]).filter(each => each.isUp);
        this.crashed.set(fault, workers);
        workers.forEach(each => each.crash(fault.isSilent));
        return workers.map(each => each.instance);
    }

    override end(site: SoakSite, fault: PlannedFault): void {
        for (const worker of this.crashed.get(fault) ?? []) {
            const { instance } = worker;
            if (this.workerReturn === "never") {
                worker.deregister(instance);
            } else if (this.workerReturn === "same-id") {
                worker.begin();
            } else {
                worker.begin(site.createWorkerId());
                setTimeout(() => worker.deregister(instance), REMOVAL_DELAY_MS);
            }
        }
        this.crashed.delete(fault);
    }
}
