import { SlotSource, UpstreamListing } from "../../routing/common/slotSource";
import { InstanceServices } from "./instanceServices";

/** Tells the router which upstreams are registered and how many slots of each are granted to this instance. */
export class GrantedSlots extends SlotSource {
    private constructor(private readonly services: InstanceServices) {
        super();
    }

    /** @param services Shared by all features. @returns The source. */
    static create(services: InstanceServices): GrantedSlots {
        return new GrantedSlots(services);
    }

    override upstreams(service: string): readonly UpstreamListing[] {
        const { directory, config } = this.services;
        return directory
            .hosts(service)
            .filter(each => each.availability === "live" && !config.isDrained(each.id))
            .map(each => ({ worker: each.id, address: each.address, region: each.region }));
    }

    override slots(worker: string, now: number): number {
        const { directory, holdings } = this.services;
        const listing = directory.worker(worker);
        return listing === undefined || !directory.isFresh(now)
            ? 0
            : (holdings?.slots(directory.shardOfWorker(listing), worker, now) ?? 0);
    }

    override address(worker: string): string {
        return this.services.directory.worker(worker)?.address ?? "";
    }
}
