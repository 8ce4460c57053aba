import { AuditEntry } from "../../scheduling/common/auditEntry";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";
import { PeerAsk, PeerReply } from "./peerTraffic";

/** Entries that an answer has at most. */
const MAX_ANSWERED_ENTRIES = 200;

/** Collects the decisions about a subject from all instances. */
export class AuditHandler extends Feature {
    private constructor(private readonly services: InstanceServices) {
        super();
        services.localAnswers.push((_from, ask) => this.answer(ask));
    }

    /** @param services What all features share. @returns The handler. */
    static create(services: InstanceServices): AuditHandler {
        return new AuditHandler(services);
    }

    override handle(event: InstanceEvent, now: number): void {
        if (event.kind === "audit-show") {
            this.collect(event.id, event.name, now);
        }
    }

    override tick(): void {
        // Nothing happens with time alone.
    }

    private answer(ask: PeerAsk): PeerReply | undefined {
        if (ask.kind !== "report-ask") {
            return undefined;
        }
        const entries = this.services.auditSource?.entries(ask.name) ?? [];
        return { kind: "report-reply", entries: entries.slice(-MAX_ANSWERED_ENTRIES) };
    }

    private collect(id: number, name: string, now: number): void {
        const instances = this.services.ownership.live(now);
        const entries: AuditEntry[] = [];
        const unanswered: string[] = [];
        let waiting = instances.length;
        const finish = () => {
            entries.sort((a, b) => a.at - b.at);
            this.services.outbox.emit({
                kind: "desk-reply",
                id,
                reply: { kind: "audit-listing", entries, unanswered },
            });
        };
        for (const { instance, address } of instances) {
            this.services.ask(instance, address, { kind: "report-ask", name }, now, reply => {
                if (reply?.kind === "report-reply") {
                    entries.push(...reply.entries);
                } else {
                    unanswered.push(instance);
                }
                waiting -= 1;
                if (waiting === 0) {
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
