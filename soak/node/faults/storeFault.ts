import { SoakSite } from "../soakSite";
import { StoreCondition } from "../storeServer";
import { Fault } from "./fault";

/** A disruption of the whole store. */
export class StoreFault extends Fault {
    override readonly isCalmInBetween = false;

    private constructor(private readonly condition: StoreCondition) {
        super();
    }

    /** @param condition What the store does to its callers. @returns The fault. */
    static create(condition: StoreCondition): StoreFault {
        return new StoreFault(condition);
    }

    override begin(site: SoakSite): readonly string[] {
        site.store.begin(this.condition);
        return [];
    }

    override end(site: SoakSite): void {
        site.store.end(this.condition);
    }
}
