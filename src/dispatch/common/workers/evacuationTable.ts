import { Emitter } from "../../../base/common/emitter";

/** The evacuation of a failure domain is requested, or taken back. */
export interface EvacuationChange {
    readonly failureDomain: string;
    readonly isEvacuated: boolean;
}

/** The failure domains to whose workers no task may be sent, by the newest records of the operator. */
export class EvacuationTable {
    private readonly domains = new Set<string>();
    private readonly didChange = Emitter.create<EvacuationChange>();

    /** Fires when an evacuation is requested or taken back. */
    readonly onDidChange = this.didChange.event;

    private constructor() {}

    /** @returns A table without evacuated domains. */
    static create(): EvacuationTable {
        return new EvacuationTable();
    }

    /** Number of evacuated domains. */
    get size(): number {
        return this.domains.size;
    }

    /** @param worker A worker, or its entry. @returns Whether its failure domain is evacuated. */
    includes({ failureDomain }: { readonly failureDomain: string }): boolean {
        return this.domains.has(failureDomain);
    }

    /** Records whether a domain is evacuated. */
    set({ failureDomain, isEvacuated }: EvacuationChange): void {
        if (this.domains.has(failureDomain) === isEvacuated) {
            return;
        }
        if (isEvacuated) {
            this.domains.add(failureDomain);
        } else {
            this.domains.delete(failureDomain);
        }
        this.didChange.fire({ failureDomain, isEvacuated });
    }

    /** Takes back the evacuations of all domains but these. */
    retain(domains: ReadonlySet<string>): void {
        [...this.domains]
            .filter(failureDomain => !domains.has(failureDomain))
            .forEach(failureDomain => this.set({ failureDomain, isEvacuated: false }));
    }
}
