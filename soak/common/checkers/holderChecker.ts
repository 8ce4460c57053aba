import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** An epoch has one leader, and a worker carries out no order with a lower fence than one that it has seen in its life. */
export class HolderChecker extends RuleChecker {
    private readonly leaders = new Map<string, string>();
    private readonly fences = new Map<number, number>();

    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): HolderChecker {
        return new HolderChecker("single-holder", site);
    }

    override observe(event: SoakEvent): void {
        switch (event.kind) {
            case "leader-began": {
                const other = this.leaders.get(event.epoch);
                this.leaders.set(event.epoch, event.instance);
                const detail = `${event.instance} leads epoch ${event.epoch}, which ${other} has led`;
                this.check(other === undefined || other === event.instance, event.atMs, detail);
                break;
            }
            case "worker-began":
                this.fences.delete(event.worker);
                break;
            case "order-executed": {
                const { worker, fence, atMs } = event;
                const highest = this.fences.get(worker) ?? 0;
                this.fences.set(worker, Math.max(fence, highest));
                this.check(
                    fence >= highest,
                    atMs,
                    `worker ${worker} carries out an order with fence ${fence} after ${highest}`,
                );
            }
        }
    }
}
