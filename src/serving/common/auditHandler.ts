import { AuditEntry } from "../../scheduling/common/auditEntry";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";
import { PeerAsk, PeerReply } from "./peerMessages";

/** Maximum number of entries in one reply. */
const MAX_REPLY_ENTRIES = 200;

/** Collects the audit entries of a subject from all instances. */
export class AuditHandler extends Feature {
    private constructor(private readonly services: InstanceServices) {
        super();
        services.localResponders.push((_from, ask) => this.respond(ask));
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): AuditHandler {
        return new AuditHandler(services);
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind === "audit-show") {
            this.collect(event.id, event.name, now);
        }
    }

    override tick(): void {
        // No periodic work.
    }

    private respond(ask: PeerAsk): PeerReply | undefined {
        if (ask.kind !== "report-ask") {
            return undefined;
        }
        const entries = this.services.auditSource?.entries(ask.name) ?? [];
        return { kind: "report-reply", entries: entries.slice(-MAX_REPLY_ENTRIES) };
    }

    private collect(id: number, name: string, now: number): void {
        const instances = this.services.ownership.liveInstances(now);
        const entries: AuditEntry[] = [];
        const unanswered: string[] = [];
        let remaining = instances.length;
        const finish = () => {
            entries.sort((a, b) => a.at - b.at);
            this.services.outbox.emit({
                kind: "api-reply",
                id,
                reply: { kind: "audit-listing", entries, unanswered },
            });
        };
        for (const { instance, address } of instances) {
            this.services.callPeer(instance, address, { kind: "report-ask", name }, now, reply => {
                if (reply?.kind === "report-reply") {
                    entries.push(...reply.entries);
                } else {
                    unanswered.push(instance);
                }
                remaining -= 1;
                if (remaining === 0) {
                    finish();
                }
            });
        }
        if (instances.length === 0) {
            finish();
        }
    }
}

FeatureRegistry.instance.register(services => AuditHandler.create(services));
