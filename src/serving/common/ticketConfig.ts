import { TicketFold } from "../../coordination/common/ticketFold";
import { DEFAULT_WEIGHTS, PolicyWeights } from "../../scheduling/common/policyWeights";
import { SchedulingConfig, ServiceSlot } from "../../scheduling/common/schedulingConfig";
import { DEFAULT_QUOTA, TeamQuota } from "../../scheduling/common/teamQuota";
import { RequestClass } from "../../routing/common/request";

/** Settings of a service in a ticket. */
export interface ServiceState {
    readonly cpus: number;
    readonly memoryGb: number;
    readonly deadlineMs: number;
    readonly requestClass: RequestClass;
}

/** Request limits in a ticket. */
export interface LimitsState {
    readonly requestMs: number;
    readonly bodyBytes: number;
    readonly minServiceSlots: number;
}

/** Limits in force until a ticket sets others. */
export const DEFAULT_LIMITS: LimitsState = { requestMs: 10_000, bodyBytes: 1_048_576, minServiceSlots: 2 };

/** Settings of a service that no ticket sets. */
export const DEFAULT_SERVICE: ServiceState = {
    cpus: 2,
    memoryGb: 4,
    deadlineMs: 2_000,
    requestClass: "non-idempotent",
};

/** Configuration set by the tickets in force. */
export class TicketConfig extends SchedulingConfig {
    private objects = new Map<string, unknown>();
    private parsedTicket = -1;

    private constructor(private readonly fold: TicketFold) {
        super();
    }

    /** @param fold The tickets. @returns The configuration that they set. */
    static create(fold: TicketFold): TicketConfig {
        return new TicketConfig(fold);
    }

    override weights(): PolicyWeights {
        return this.get<PolicyWeights>("policy/weights") ?? DEFAULT_WEIGHTS;
    }

    override quota(team: string): TeamQuota {
        return { team, ...(this.get<Omit<TeamQuota, "team">>(`team/${team}`) ?? DEFAULT_QUOTA) };
    }

    override serviceSlot(service: string): ServiceSlot {
        return this.service(service);
    }

    override minServiceSlots(): number {
        return this.limits().minServiceSlots;
    }

    override maxRequestMs(): number {
        return this.limits().requestMs;
    }

    override isDrained(worker: string): boolean {
        return this.get(`drain/${worker}`) !== undefined;
    }

    /** @returns Request limits in force. */
    limits(): LimitsState {
        return this.get<LimitsState>("limits/requests") ?? DEFAULT_LIMITS;
    }

    /** @param name Name of a service. @returns Its settings in force. */
    service(name: string): ServiceState {
        return this.get<ServiceState>(`service/${name}`) ?? DEFAULT_SERVICE;
    }

    /** @returns Names of the services that tickets set. */
    services(): string[] {
        this.refresh();
        return [...this.objects.keys()].filter(key => key.startsWith("service/")).map(key => key.slice(8));
    }

    /** @param name Name of a batch class. @returns Defaults for the fields of its tasks. */
    taskClass(name: string): Readonly<Record<string, unknown>> | undefined {
        return this.get(`class/${name}`);
    }

    private get<T>(key: string): T | undefined {
        this.refresh();
        return this.objects.get(key) as T | undefined;
    }

    private refresh(): void {
        if (this.parsedTicket === this.fold.latestNumber) {
            return;
        }
        this.parsedTicket = this.fold.latestNumber;
        this.objects = new Map(
            [...this.fold.inForce.values()]
                .filter(each => each.value !== "")
                .map(each => [each.key, JSON.parse(each.value) as unknown]),
        );
    }
}
