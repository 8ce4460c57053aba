import { PlannedFault } from "../../common/plannedFault";
import { EntryProcess, HoldKind } from "../entryProcess";
import { SoakSite } from "../soakSite";
import { Fault } from "./fault";

/** Which entries a fault is about. */
type EntrySelection = "all" | "targets" | "leader";

/** Ends or pauses processes by a signal, and starts or resumes them again. */
export class ProcessFault extends Fault {
    override readonly isCalmInBetween = true;
    private readonly held = new Map<PlannedFault, readonly EntryProcess[]>();

    private constructor(
        private readonly hold: HoldKind,
        private readonly selection: EntrySelection,
    ) {
        super();
    }

    /** @param hold What happens to the processes. @param selection The entries. @returns The fault. */
    static create(hold: HoldKind, selection: EntrySelection): ProcessFault {
        return new ProcessFault(hold, selection);
    }

    override begin(site: SoakSite, fault: PlannedFault): readonly string[] {
        const entries = this.select(site, fault);
        this.held.set(fault, entries);
        entries.forEach(each => each.hold(this.hold));
        return entries.map(each => each.node);
    }

    override end(_site: SoakSite, fault: PlannedFault): void {
        this.held.get(fault)?.forEach(each => each.release(this.hold));
        this.held.delete(fault);
    }

    private select(site: SoakSite, fault: PlannedFault): readonly EntryProcess[] {
        switch (this.selection) {
            case "all":
                return site.entries;
            case "targets":
                return fault.targets.map(index => site.entries[index]);
            case "leader":
                return [site.leader];
        }
    }
}
