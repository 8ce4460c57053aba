import { PlannedFault } from "../../common/plannedFault";
import { SoakSite } from "../soakSite";

/** How a kind of fault is injected and undone. */
export abstract class Fault {
    /**
     * Whether the site counts as calm while the fault lasts, since nothing changes any more: a process that is down or
     * paused, or a worker that is lost.
     */
    abstract readonly isCalmInBetween: boolean;

    /** Injects the fault. @returns What it is about, for the record. */
    abstract begin(site: SoakSite, fault: PlannedFault): readonly string[];

    /** Undoes the fault. */
    abstract end(site: SoakSite, fault: PlannedFault): void;
}
