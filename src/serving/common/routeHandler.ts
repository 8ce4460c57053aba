import { ExpectedLatency } from "../../routing/common/expectedLatency";
import { LinkBudget } from "../../routing/common/linkBudget";
import { Router } from "../../routing/common/router";
import { UpstreamChoice } from "../../routing/common/upstreamChoice";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { GrantedSlots } from "./grantedSlots";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";

/** Number of instances assumed to share the link between the regions. */
const INSTANCES_PER_LINK = 8;

/** Routes callers' requests to services. */
export class RouteHandler extends Feature {
    private readonly router: Router;

    private constructor(private readonly services: InstanceServices) {
        super();
        this.router = Router.create(
            services.identity.region,
            GrantedSlots.create(services),
            ExpectedLatency.create(),
            LinkBudget.create(INSTANCES_PER_LINK),
            services.outbox,
        );
        services.requestUsage = this.router;
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): RouteHandler {
        return new RouteHandler(services);
    }

    /** Replaces the policy that chooses upstreams. */
    useChoice(choice: UpstreamChoice): void {
        this.router.useChoice(choice);
    }

    override get isIdle(): boolean {
        return this.router.openCount === 0;
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind === "request-received" && this.services.isStopping) {
            this.router.rejectRequest(event.description, now);
            return;
        }
        switch (event.kind) {
            case "request-received":
            case "caller-gone":
            case "upstream-response-started":
            case "upstream-response-complete":
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

FeatureRegistry.instance.register(services => RouteHandler.create(services));
