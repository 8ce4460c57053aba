import { PlannedFault } from "../../common/plannedFault";
import { LinkCondition } from "../linkedConnection";
import { LinkProxy } from "../linkProxy";
import { SoakSite } from "../soakSite";
import { Fault } from "./fault";

/** The links of entries to the store, of all callers to an entry, or of all entries to a worker. */
type LinkSide = "store" | "caller" | "worker";

/** A disruption of some links. */
export class LinkFault extends Fault {
    override readonly isCalmInBetween = false;

    private constructor(
        private readonly side: LinkSide,
        private readonly condition: LinkCondition | "stale",
    ) {
        super();
    }

    /** @param side The links. @param condition What they do; `stale` silences the open connections for good. @returns The fault. */
    static create(side: LinkSide, condition: LinkCondition | "stale"): LinkFault {
        return new LinkFault(side, condition);
    }

    override begin(site: SoakSite, fault: PlannedFault): readonly string[] {
        this.linksOf(site, fault).forEach(link =>
            this.condition === "stale" ? link.makeStale() : link.begin(this.condition),
        );
        return fault.targets.map(index => `${this.side} link ${index}`);
    }

    override end(site: SoakSite, fault: PlannedFault): void {
        if (this.condition !== "stale") {
            const { condition } = this;
            this.linksOf(site, fault).forEach(link => link.end(condition));
        }
    }

    private linksOf(site: SoakSite, fault: PlannedFault): LinkProxy[] {
        const links = { store: site.storeLinks, caller: site.callerLinks, worker: site.workerLinks }[this.side];
        return fault.targets.map(index => links[index]);
    }
}
