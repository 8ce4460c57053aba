import { LogSession } from "../../coordination/common/logSession";
import { OwnershipEntry } from "../../coordination/common/ownershipEntry";
import { TicketEntry } from "../../coordination/common/ticketEntry";
import { LogEvent } from "../../services/common/logEvents";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceEvent } from "./instanceEvents";
import { InstanceServices } from "./instanceServices";
import { LogEntry, OWNERSHIP_STREAM, TICKET_STREAM } from "./logEntry";
import { PeerAsk, PeerReply } from "./peerMessages";

/** Time between two requests to other instances for the state of a stream. */
const STATE_REQUEST_INTERVAL_MS = 1_500;

/** Time between two reads of service discovery. */
const DISCOVERY_INTERVAL_MS = 1_000;

/** Number of records in a stream after which the owner of the first shard writes a snapshot of it. */
const SNAPSHOT_INTERVAL_RECORDS = 500;

/** Reads service discovery and the streams common to all instances, and dispatches messages of other instances. */
export class StreamHandler extends Feature {
    private nextStateRequestAt = 0;
    private nextDiscoveryAt = 0;
    private isDiscoveryIdle = true;
    private discoveryRequestedAt = Number.NEGATIVE_INFINITY;
    private stateRequestCount = 0;
    private readonly snapshotPending = new Set<string>();

    private constructor(private readonly services: InstanceServices) {
        super();
        services.localResponders.push((_from, ask) => this.respond(ask));
    }

    /** @param services Shared by all features. @returns The handler. */
    static create(services: InstanceServices): StreamHandler {
        return new StreamHandler(services);
    }

    override handle(event: InstanceEvent, now: number): void {
        switch (event.kind) {
            case "log-appended":
            case "log-append-failed":
            case "log-read":
            case "log-read-failed":
            case "log-truncated":
                return this.handleLog(event, now);
            case "instances-listed":
                this.isDiscoveryIdle = true;
                this.services.directory.recordRead(this.discoveryRequestedAt);
                if (event.listing !== undefined) {
                    this.services.directory.update(event.listing);
                    this.services.directoryUpdated.fire();
                }
                return;
            case "instances-list-failed":
                this.isDiscoveryIdle = true;
                this.services.directory.recordRead(this.discoveryRequestedAt);
                return;
            case "peer-replied":
                return this.services.completeCall(event.call, event.reply, now);
            case "peer-failed":
                return this.services.completeCall(event.call, undefined, now);
            case "peer-asked":
                this.services.outbox.emit({
                    kind: "peer-reply",
                    id: event.id,
                    reply: this.services.respond(event.from, event.ask, now),
                });
        }
    }

    override tick(now: number): void {
        if (this.isDiscoveryIdle && now >= this.nextDiscoveryAt) {
            this.isDiscoveryIdle = false;
            // The response reflects a moment after this one, but the loop may handle it much later.
            this.discoveryRequestedAt = now;
            this.nextDiscoveryAt = now + DISCOVERY_INTERVAL_MS;
            this.services.outbox.emit({ kind: "list-instances" });
        }
        this.requestMissingState(now);
        this.writeSnapshotIfDue(this.services.tickets);
        this.writeSnapshotIfDue(this.services.ownershipSession);
    }

    private handleLog(event: LogEvent<LogEntry>, now: number): void {
        if (event.stream === TICKET_STREAM) {
            this.services.tickets.handle(event as LogEvent<TicketEntry>, now);
        } else if (event.stream === OWNERSHIP_STREAM) {
            this.services.ownershipSession.handle(event as LogEvent<OwnershipEntry>, now);
        }
    }

    /**
     * Requests the state of streams that are not ready from the other instances in turn. An instance may start while the
     * log is down or has lost its oldest records.
     */
    private requestMissingState(now: number): void {
        const { tickets, ownershipSession, directory, identity } = this.services;
        const missing = [tickets, ownershipSession].filter(session => !session.isReady);
        const others = directory.entries.filter(each => each.address !== identity.address);
        if (missing.length === 0 || others.length === 0 || now < this.nextStateRequestAt) {
            return;
        }
        this.nextStateRequestAt = now + STATE_REQUEST_INTERVAL_MS;
        this.stateRequestCount += 1;
        const { address } = others[this.stateRequestCount % others.length];
        for (const session of missing) {
            this.services.callPeer(address, address, { kind: "state-ask", stream: session.stream }, now, reply => {
                if (reply?.kind === "state-reply") {
                    session.installIfAhead(reply);
                }
            });
        }
    }

    private respond(ask: PeerAsk): PeerReply | undefined {
        if (ask.kind !== "state-ask") {
            return undefined;
        }
        const session = [this.services.tickets, this.services.ownershipSession].find(
            each => each.stream === ask.stream,
        );
        const image = session?.image();
        return image === undefined ? undefined : { kind: "state-reply", stream: ask.stream, ...image };
    }

    /** Writes a snapshot on one instance only, since the snapshots of all instances are equivalent. */
    private writeSnapshotIfDue<E extends TicketEntry | OwnershipEntry>(session: LogSession<E>): void {
        const first = this.services.ownership.get(this.services.plan[0].name);
        const recordCount = session.next - (session.snapshotNext ?? 0);
        if (recordCount <= SNAPSHOT_INTERVAL_RECORDS) {
            this.snapshotPending.delete(session.stream);
            return;
        }
        const image = first.state === "owning" && session.isCurrent ? session.image() : undefined;
        if (image !== undefined && !this.snapshotPending.has(session.stream)) {
            this.snapshotPending.add(session.stream);
            session.append({ kind: "snapshot-taken", ...image } as E);
        }
    }
}

FeatureRegistry.instance.register(services => StreamHandler.create(services));
