import { PlannedFault } from "../../common/plannedFault";
import { SoakSite } from "../soakSite";
import { Fault } from "./fault";

/** Workers carry out some orders seconds after they were sent, without an answer. */
export class LateOrderFault extends Fault {
    override readonly isCalmInBetween = false;

    private constructor() {
        super();
    }

    /** @returns The fault. */
    static create(): LateOrderFault {
        return new LateOrderFault();
    }

    override begin(site: SoakSite, fault: PlannedFault): readonly string[] {
        fault.targets.forEach(index => (site.workers[index].lateFaults += 1));
        return fault.targets.map(index => site.workers[index].instance);
    }

    override end(site: SoakSite, fault: PlannedFault): void {
        fault.targets.forEach(index => (site.workers[index].lateFaults -= 1));
    }
}
