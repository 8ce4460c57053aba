import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Binding } from "../../base/common/chart";
import { Offset } from "../../services/common/logService";
import { EntryPosition, Fold } from "./fold";
import { hash } from "./rendezvous";
import chartText from "./ticket.chart.yaml";
import { TicketEntry, TicketFiled } from "./ticketEntry";

/** What became of a ticket. */
export type TicketState = "filed" | "in-force" | "superseded" | "repeated" | "lost";
type TicketEvent = "judge" | "replace";
type TicketGuard = "isRepeat" | "isNumberTaken" | "isNumberPassed" | "isBuiltOnOlder" | "isWhollyReplaced";
type TicketAction = "loseToSameNumber" | "loseToLaterNumber" | "loseToNewerBase" | "putInForce";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<TicketState, TicketEvent, TicketGuard, TicketAction>(chartText, "ticket.chart.yaml", {
        states: ["filed", "in-force", "superseded", "repeated", "lost"],
        events: ["judge", "replace"],
        guards: ["isRepeat", "isNumberTaken", "isNumberPassed", "isBuiltOnOlder", "isWhollyReplaced"],
        actions: ["loseToSameNumber", "loseToLaterNumber", "loseToNewerBase", "putInForce"],
    }),
);

/** Why a ticket lost. */
export type TicketLoss = "number-taken" | "number-passed" | "built-on-older";

/** What became of a filed ticket, and by which other ticket. */
export interface TicketVerdict {
    readonly number: number;
    readonly offset: Offset;
    readonly author: string;
    readonly reason: string;
    readonly filedAt: number;
    readonly keys: readonly string[];
    readonly digest: string;
    readonly state: TicketState;
    readonly loss?: TicketLoss;
    /** Number of the ticket that this one lost to or repeats. */
    readonly winner?: number;
}

/** State in force of one object. */
export interface ObjectInForce {
    readonly key: string;
    readonly value: string;
    /** Number of the ticket that set it. */
    readonly ticket: number;
}

/** Verdicts kept for reading back. */
const VERDICT_RETENTION = 1_000;

interface SavedState {
    readonly latest: number;
    readonly objects: readonly ObjectInForce[];
    readonly verdicts: readonly TicketVerdict[];
}

interface Judgement {
    readonly entry: TicketFiled;
    readonly digest: string;
    loss?: TicketLoss;
    winner?: number;
}

/** The tickets in the order of the log, and the state that they leave in force. */
export class TicketFold extends Fold<TicketEntry> {
    override readonly format: string = "1.0.0";
    private latest = 0;
    private objects = new Map<string, ObjectInForce>();
    private log: TicketVerdict[] = [];
    private readonly binding: Binding<TicketFold, Judgement, TicketGuard, TicketAction>;

    private constructor() {
        super();
        this.binding = {
            guards: {
                isRepeat: (_, { entry, digest }) => this.accepted(entry.number)?.digest === digest,
                isNumberTaken: (_, { entry }) => this.accepted(entry.number) !== undefined,
                isNumberPassed: (_, { entry }) => entry.number <= this.latest,
                isBuiltOnOlder: (_, { entry }) => this.newestTouched(entry) > entry.basedOn,
                isWhollyReplaced: (_, { entry }) => !this.holdsAnything(entry.number),
            },
            actions: {
                loseToSameNumber: (_, judgement) => this.lose(judgement, "number-taken", judgement.entry.number),
                loseToLaterNumber: (_, judgement) => this.lose(judgement, "number-passed", this.latest),
                loseToNewerBase: (_, judgement) =>
                    this.lose(judgement, "built-on-older", this.newestTouched(judgement.entry)),
                putInForce: (_, judgement) => this.putInForce(judgement.entry),
            },
        };
    }

    /** @returns The state before offset 0. */
    static create(): TicketFold {
        return new TicketFold();
    }

    /** Number of the latest accepted ticket; 0 before the first. */
    get latestNumber(): number {
        return this.latest;
    }

    /** Everything in force, by key. */
    get inForce(): ReadonlyMap<string, ObjectInForce> {
        return this.objects;
    }

    /** What became of the latest tickets, in the order of the log. */
    get verdicts(): readonly TicketVerdict[] {
        return this.log;
    }

    protected override apply(entry: TicketEntry, position: EntryPosition): void {
        if (entry.kind !== "ticket-filed") {
            return;
        }
        const judgement: Judgement = { entry, digest: digestOf(entry) };
        const state = chart.fire("filed", "judge", this, judgement, this.binding) ?? "filed";
        const keys = entry.objects.map(each => each.key);
        const { number, author, reason, filedAt } = entry;
        const { digest, loss, winner } = judgement;
        this.log.push({ number, offset: position.offset, author, reason, filedAt, keys, digest, state, loss, winner });
        if (state === "in-force") {
            this.reviewReplaced(entry.number);
        }
        this.log.splice(0, this.log.length - VERDICT_RETENTION);
    }

    protected override save(): SavedState {
        return { latest: this.latest, objects: [...this.objects.values()], verdicts: this.log };
    }

    protected override load(state: unknown): void {
        const saved = state as SavedState;
        this.latest = saved.latest;
        this.objects = new Map(saved.objects.map(each => [each.key, each]));
        this.log = [...saved.verdicts];
    }

    private accepted(number: number): TicketVerdict | undefined {
        return this.log.find(
            each => each.number === number && (each.state === "in-force" || each.state === "superseded"),
        );
    }

    private newestTouched(entry: TicketFiled): number {
        return Math.max(0, ...entry.objects.map(each => this.objects.get(each.key)?.ticket ?? 0));
    }

    private holdsAnything(number: number): boolean {
        return [...this.objects.values()].some(each => each.ticket === number);
    }

    private lose(judgement: Judgement, loss: TicketLoss, winner: number): void {
        judgement.loss = loss;
        judgement.winner = winner;
    }

    private putInForce(entry: TicketFiled): void {
        this.latest = entry.number;
        for (const { key, value } of entry.objects) {
            // A removed object stays known, so that a ticket built on an older number cannot bring it back.
            this.objects.set(key, { key, value, ticket: entry.number });
        }
    }

    private reviewReplaced(by: number): void {
        this.log = this.log.map(verdict => {
            if (verdict.state !== "in-force" || verdict.number === by) {
                return verdict;
            }
            const entry = { number: verdict.number } as TicketFiled;
            const state = chart.fire(verdict.state, "replace", this, { entry, digest: verdict.digest }, this.binding);
            return state === undefined || state === verdict.state ? verdict : { ...verdict, state };
        });
    }
}

/** Tells whether two tickets say the same. Two seeds make a chance agreement improbable. */
function digestOf(entry: TicketFiled): string {
    const text = JSON.stringify([entry.number, entry.objects]);
    return `${hash(text).toString(16)}-${hash(`${text}#`).toString(16)}`;
}
