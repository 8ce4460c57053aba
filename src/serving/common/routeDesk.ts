import { ExpectedLatency } from "../../routing/common/expectedLatency";
import { LinkBudget } from "../../routing/common/linkBudget";
import { Router } from "../../routing/common/router";
import { UpstreamChoice } from "../../routing/common/upstreamChoice";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { GrantedSlots } from "./grantedSlots";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";

/** Instances that are taken to share the link between the regions. */
const LINK_SHARERS = 8;

/** Routes callers' requests to services. */
export class RouteDesk extends Feature {
    private readonly router: Router;

    private constructor(private readonly services: InstanceServices) {
        super();
        this.router = Router.create(
            services.identity.region,
            GrantedSlots.create(services),
            ExpectedLatency.create(),
            LinkBudget.create(LINK_SHARERS),
            services.outbox,
        );
        services.requests = this.router;
    }

    /** @param services What all features share. @returns The desk. */
    static create(services: InstanceServices): RouteDesk {
        return new RouteDesk(services);
    }

    /** Replaces how upstreams are chosen. */
    useChoice(choice: UpstreamChoice): void {
        this.router.useChoice(choice);
    }

    override get isIdle(): boolean {
        return this.router.openCount === 0;
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind === "request-received" && this.services.isStopping) {
            this.router.turnAway(event.description, now);
            return;
        }
        switch (event.kind) {
            case "request-received":
            case "caller-gone":
            case "upstream-head":
            case "upstream-whole":
            case "upstream-failed":
            case "probe-answered":
            case "probe-failed":
                this.router.handle(event, now);
        }
    }

    override tick(now: number): void {
        this.router.tick(now);
    }
}

FeatureRegistry.instance.register(services => RouteDesk.create(services));
