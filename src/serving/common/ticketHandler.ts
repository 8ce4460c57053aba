import { TicketEntry, TicketFiled } from "../../coordination/common/ticketEntry";
import { AppliedBatch } from "../../coordination/common/logSession";
import { Invariants } from "../../base/common/invariant";
import { DeskReply, TicketDraft } from "./deskTraffic";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceTraffic";

/** Longest time that an operator waits for the verdict on a ticket, in ms. */
const VERDICT_PATIENCE_MS = 5_000;

/** When a refused operator should try again, in ms. */
const RETRY_AFTER_MS = 2_000;

interface PendingTicket {
    readonly id: number;
    readonly entry: TicketFiled;
    readonly until: number;
}

/** Takes operators' tickets to the log, and answers with the verdict that every instance reaches. */
export class TicketHandler extends Feature {
    private pending: PendingTicket[] = [];
    private latest = 0;

    private constructor(private readonly services: InstanceServices) {
        super();
        services.tickets.onDidApply(applied => this.onApplied(applied));
    }

    /** @param services What all features share. @returns The handler. */
    static create(services: InstanceServices): TicketHandler {
        return new TicketHandler(services);
    }

    override get isIdle(): boolean {
        return this.pending.length === 0;
    }

    override handle(event: InstanceEvent, now: number): void {
        switch (event.kind) {
            case "ticket-file":
                return this.file(event.id, event.draft, now);
            case "ticket-list":
                return this.reply(event.id, { kind: "ticket-listing", verdicts: this.services.ticketFold.verdicts });
            case "in-force-show":
                return this.showInForce(event.id, now);
        }
    }

    override tick(now: number): void {
        const late = this.pending.filter(each => now >= each.until);
        this.pending = this.pending.filter(each => now < each.until);
        late.forEach(each => this.giveUp(each));
    }

    private file(id: number, draft: TicketDraft, now: number): void {
        const { tickets, isStopping } = this.services;
        if (tickets.isAppendFailing || isStopping) {
            const message = isStopping ? "the instance is stopping" : "the log cannot be reached";
            this.reply(id, { kind: "not-run", message, retryAfterMs: RETRY_AFTER_MS });
            return;
        }
        const entry: TicketFiled = { kind: "ticket-filed", ...draft, filedAt: Date.now() };
        tickets.append(entry);
        tickets.flush(now);
        this.pending.push({ id, entry, until: now + VERDICT_PATIENCE_MS });
    }

    private giveUp({ id, entry }: PendingTicket): void {
        if (this.services.tickets.withdraw(entry) === "withdrawn") {
            this.reply(id, { kind: "not-run", message: "the log cannot be reached", retryAfterMs: RETRY_AFTER_MS });
        } else {
            const message = `the log has not answered; see whether ticket ${entry.number} is listed later`;
            this.reply(id, { kind: "unknown", message });
        }
    }

    private onApplied({ placed, counted }: AppliedBatch<TicketEntry>): void {
        const { ticketFold } = this.services;
        const { latestNumber } = ticketFold;
        Invariants.instance.check(
            "ticket-never-reverts",
            latestNumber >= this.latest,
            () => `ticket ${this.latest} was followed by ${latestNumber}`,
        );
        this.latest = latestNumber;
        for (const entry of placed.batch.entries) {
            if (entry.kind === "ticket-filed" && counted) {
                this.announce(entry, placed.offset);
            }
        }
    }

    private announce(entry: TicketFiled, offset: number): void {
        const verdict = this.services.ticketFold.verdicts.findLast(
            each => each.offset === offset && each.number === entry.number,
        );
        if (verdict === undefined) {
            return;
        }
        const { number, state, loss, winner } = verdict;
        const reason = loss === undefined ? entry.reason : `${loss}, to ticket ${winner}`;
        this.services.audit("ticket", String(number), state, `${reason} (by ${entry.author})`);
        const mine = this.pending.filter(each => isSame(each.entry, entry));
        this.pending = this.pending.filter(each => !mine.includes(each));
        mine.forEach(each => this.reply(each.id, { kind: "ticket-verdict", verdict }));
    }

    private showInForce(id: number, now: number): void {
        const { ticketFold, tickets, ownership } = this.services;
        this.reply(id, {
            kind: "in-force",
            ticket: ticketFold.latestNumber,
            offset: tickets.next - 1,
            staleMs: Math.max(0, Math.round(now - tickets.coveredUntil)),
            objects: [...ticketFold.inForce.values()].filter(each => each.value !== ""),
            instances: ownership.live(now).map(({ offset: _offset, ...rest }) => rest),
        });
    }

    private reply(id: number, reply: DeskReply): void {
        this.services.outbox.emit({ kind: "desk-reply", id, reply });
    }
}

function isSame(a: TicketFiled, b: TicketFiled): boolean {
    return a.number === b.number && a.author === b.author && a.filedAt === b.filedAt && a.reason === b.reason;
}

FeatureRegistry.instance.register(services => TicketHandler.create(services));
