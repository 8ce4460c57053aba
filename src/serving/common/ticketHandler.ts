import { TicketEntry, TicketFiled } from "../../coordination/common/ticketEntry";
import { AppliedBatch } from "../../coordination/common/logSession";
import { Invariants } from "../../base/common/invariants";
import { ApiReply, TicketDraft } from "./apiMessages";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import { InstanceServices } from "./instanceServices";
import { InstanceEvent } from "./instanceEvents";

/** Time within which the verdict on a ticket must be known, in ms. */
const VERDICT_TIMEOUT_MS = 5_000;

/** Delay after which a refused operator should retry, in ms. */
const RETRY_AFTER_MS = 2_000;

interface PendingTicket {
    readonly id: number;
    readonly entry: TicketFiled;
    readonly expiresAt: number;
}

/** Appends operators' tickets to the log, and replies with the verdict, which is the same on every instance. */
export class TicketHandler extends Feature {
    private pending: PendingTicket[] = [];
    private lastNumber = 0;

    private constructor(private readonly services: InstanceServices) {
        super();
        services.tickets.onDidApply(applied => this.onApplied(applied));
    }

    /** @param services Shared by all features. @returns The handler. */
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
        const expired = this.pending.filter(each => now >= each.expiresAt);
        this.pending = this.pending.filter(each => now < each.expiresAt);
        expired.forEach(each => this.expire(each));
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
        this.pending.push({ id, entry, expiresAt: now + VERDICT_TIMEOUT_MS });
    }

    private expire({ id, entry }: PendingTicket): void {
        if (this.services.tickets.withdraw(entry) === "withdrawn") {
            this.reply(id, { kind: "not-run", message: "the log cannot be reached", retryAfterMs: RETRY_AFTER_MS });
        } else {
            const message = `the log has not answered; see whether ticket ${entry.number} is listed later`;
            this.reply(id, { kind: "unknown", message });
        }
    }

    private onApplied({ placed, isNew }: AppliedBatch<TicketEntry>): void {
        const { ticketFold } = this.services;
        const { latestNumber } = ticketFold;
        Invariants.instance.check(
            "ticket-never-reverts",
            latestNumber >= this.lastNumber,
            () => `ticket in force went back from ${this.lastNumber} to ${latestNumber}`,
        );
        this.lastNumber = latestNumber;
        for (const entry of placed.batch.entries) {
            if (entry.kind === "ticket-filed" && isNew) {
                this.publishVerdict(entry, placed.offset);
            }
        }
    }

    private publishVerdict(entry: TicketFiled, offset: number): void {
        const verdict = this.services.ticketFold.verdicts.findLast(
            each => each.offset === offset && each.number === entry.number,
        );
        if (verdict === undefined) {
            return;
        }
        const { number, state, loss, winner } = verdict;
        const reason = loss === undefined ? entry.reason : `${loss}, to ticket ${winner}`;
        this.services.audit("ticket", String(number), state, `${reason} (by ${entry.author})`);
        const answered = this.pending.filter(each => isSameTicket(each.entry, entry));
        this.pending = this.pending.filter(each => !answered.includes(each));
        answered.forEach(each => this.reply(each.id, { kind: "ticket-verdict", verdict }));
    }

    private showInForce(id: number, now: number): void {
        const { ticketFold, tickets, ownership } = this.services;
        this.reply(id, {
            kind: "in-force",
            ticket: ticketFold.latestNumber,
            offset: tickets.next - 1,
            staleMs: Math.max(0, Math.round(now - tickets.coveredUntil)),
            objects: [...ticketFold.inForce.values()].filter(each => each.value !== ""),
            instances: ownership.liveInstances(now).map(({ offset: _offset, ...rest }) => rest),
        });
    }

    private reply(id: number, reply: ApiReply): void {
        this.services.outbox.emit({ kind: "api-reply", id, reply });
    }
}

function isSameTicket(a: TicketFiled, b: TicketFiled): boolean {
    return a.number === b.number && a.author === b.author && a.filedAt === b.filedAt && a.reason === b.reason;
}

FeatureRegistry.instance.register(services => TicketHandler.create(services));
