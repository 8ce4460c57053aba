import { LogSession } from "../../coordination/common/logSession";
import { OwnershipEntry } from "../../coordination/common/ownershipEntry";
import { TicketEntry } from "../../coordination/common/ticketEntry";
import { LogEvent } from "../../services/common/logTraffic";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceEvent } from "./instanceTraffic";
import { InstanceServices } from "./instanceServices";
import { LogEntry, OWNERSHIP_STREAM, TICKET_STREAM } from "./logEntry";
import { PeerAsk, PeerReply } from "./peerTraffic";

/** Time between two questions for the state of a stream. */
const STATE_INTERVAL_MS = 1_500;

/** Time between two readings of the platform's list. */
const LIST_INTERVAL_MS = 1_000;

/** Records of a stream after which the owner of the first shard writes a snapshot of it. */
const SNAPSHOT_RECORDS = 500;

/** Keeps the streams that every instance reads, and the platform's list. */
export class StreamHandler extends Feature {
    private nextStateAt = 0;
    private nextListAt = 0;
    private listAnswered = true;
    private listAskedAt = Number.NEGATIVE_INFINITY;
    private asked = 0;
    private readonly snapshotPending = new Set<string>();

    private constructor(private readonly services: InstanceServices) {
        super();
        services.localAnswers.push((_from, ask) => this.answer(ask));
    }

    /** @param services What all features share. @returns The handler. */
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
                this.listAnswered = true;
                this.services.directory.checked(this.listAskedAt);
                if (event.listing !== undefined) {
                    this.services.directory.update(event.listing);
                    this.services.listed.fire();
                }
                return;
            case "instances-unlisted":
                this.listAnswered = true;
                this.services.directory.checked(this.listAskedAt);
                return;
            case "peer-replied":
                return this.services.settle(event.call, event.reply, now);
            case "peer-failed":
                return this.services.settle(event.call, undefined, now);
            case "peer-asked":
                this.services.outbox.emit({
                    kind: "peer-reply",
                    id: event.id,
                    reply: this.services.answer(event.from, event.ask, now),
                });
        }
    }

    override tick(now: number): void {
        if (this.listAnswered && now >= this.nextListAt) {
            this.listAnswered = false;
            // The answer tells what was listed after this moment; it may be looked at much later.
            this.listAskedAt = now;
            this.nextListAt = now + LIST_INTERVAL_MS;
            this.services.outbox.emit({ kind: "list-instances" });
        }
        this.askForState(now);
        this.snapshotWhenDue(this.services.tickets);
        this.snapshotWhenDue(this.services.ownershipSession);
    }

    private handleLog(event: LogEvent<LogEntry>, now: number): void {
        if (event.stream === TICKET_STREAM) {
            this.services.tickets.handle(event as LogEvent<TicketEntry>, now);
        } else if (event.stream === OWNERSHIP_STREAM) {
            this.services.ownershipSession.handle(event as LogEvent<OwnershipEntry>, now);
        }
    }

    /** An instance that starts while the log is down or has lost its oldest records asks the others in turn. */
    private askForState(now: number): void {
        const { tickets, ownershipSession, directory, identity } = this.services;
        const missing = [tickets, ownershipSession].filter(session => !session.isReady);
        const others = directory.entries.filter(each => each.address !== identity.address);
        if (missing.length === 0 || others.length === 0 || now < this.nextStateAt) {
            return;
        }
        this.nextStateAt = now + STATE_INTERVAL_MS;
        this.asked += 1;
        const { address } = others[this.asked % others.length];
        for (const session of missing) {
            this.services.ask(address, address, { kind: "state-ask", stream: session.stream }, now, reply => {
                if (reply?.kind === "state-reply") {
                    session.offer(reply);
                }
            });
        }
    }

    private answer(ask: PeerAsk): PeerReply | undefined {
        if (ask.kind !== "state-ask") {
            return undefined;
        }
        const session = [this.services.tickets, this.services.ownershipSession].find(
            each => each.stream === ask.stream,
        );
        const image = session?.image();
        return image === undefined ? undefined : { kind: "state-reply", stream: ask.stream, ...image };
    }

    /** Any instance's snapshot is as good as another's, so one of them is enough. */
    private snapshotWhenDue<E extends TicketEntry | OwnershipEntry>(session: LogSession<E>): void {
        const first = this.services.ownership.get(this.services.plan[0].name);
        const records = session.next - (session.snapshotNext ?? 0);
        if (records <= SNAPSHOT_RECORDS) {
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
