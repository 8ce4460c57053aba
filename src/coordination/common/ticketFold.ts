import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { ChartBinding } from "../../base/common/chart";
import { Offset } from "../../services/common/logService";
import { EntryPosition, Fold } from "./fold";
import { hash } from "./rendezvous";
import chartText from "./ticket.chart.yaml";
import { TicketEntry, TicketFiled } from "./ticketEntry";

/** State of a ticket. */
export type TicketState = "filed" | "in-force" | "superseded" | "repeated" | "lost";
type TicketEvent = "evaluate" | "replace";
type TicketGuard = "isRepeat" | "isNumberTaken" | "isNumberPassed" | "isBuiltOnOlder" | "isFullyReplaced";
type TicketAction = "rejectNumberTaken" | "rejectNumberPassed" | "rejectBuiltOnOlder" | "putInForce";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<TicketState, TicketEvent, TicketGuard, TicketAction>(chartText, "ticket.chart.yaml", {
        states: ["filed", "in-force", "superseded", "repeated", "lost"],
        events: ["evaluate", "replace"],
        guards: ["isRepeat", "isNumberTaken", "isNumberPassed", "isBuiltOnOlder", "isFullyReplaced"],
        actions: ["rejectNumberTaken", "rejectNumberPassed", "rejectBuiltOnOlder", "putInForce"],
    }),
);

/** Why a ticket was not accepted. */
export type TicketLoss = "number-taken" | "number-passed" | "built-on-older";

/** Outcome of a filed ticket. */
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
    /** Number of the ticket that this one lost to. */
    readonly winner?: number;
}

/** State in force of one object. */
export interface ObjectInForce {
    readonly key: string;
    readonly value: string;
    /** Number of the ticket that set it. */
    readonly ticket: number;
}

/** Maximum number of verdicts kept; the oldest ones are removed. */
const MAX_VERDICTS = 1_000;

interface SavedState {
    readonly latest: number;
    readonly objects: readonly ObjectInForce[];
    readonly verdicts: readonly TicketVerdict[];
}

interface Evaluation {
    readonly entry: TicketFiled;
    readonly digest: string;
    loss?: TicketLoss;
    winner?: number;
}

/** Decides in the order of the log which tickets are accepted, and holds the state that they put in force. */
export class TicketFold extends Fold<TicketEntry> {
    override readonly format: string = "1.0.0";
    private latest = 0;
    private objects = new Map<string, ObjectInForce>();
    private history: TicketVerdict[] = [];
    private readonly binding: ChartBinding<TicketFold, Evaluation, TicketGuard, TicketAction>;

    private constructor() {
        super();
        this.binding = {
            guards: {
                isRepeat: (_, { entry, digest }) => this.accepted(entry.number)?.digest === digest,
                isNumberTaken: (_, { entry }) => this.accepted(entry.number) !== undefined,
                isNumberPassed: (_, { entry }) => entry.number <= this.latest,
                isBuiltOnOlder: (_, { entry }) => this.newestTicketOf(entry) > entry.basedOn,
                isFullyReplaced: (_, { entry }) => !this.isAnyObjectFrom(entry.number),
            },
            actions: {
                rejectNumberTaken: (_, evaluation) => this.reject(evaluation, "number-taken", evaluation.entry.number),
                rejectNumberPassed: (_, evaluation) => this.reject(evaluation, "number-passed", this.latest),
                rejectBuiltOnOlder: (_, evaluation) =>
                    this.reject(evaluation, "built-on-older", this.newestTicketOf(evaluation.entry)),
                putInForce: (_, evaluation) => this.putInForce(evaluation.entry),
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

    /** Objects in force, by key. */
    get inForce(): ReadonlyMap<string, ObjectInForce> {
        return this.objects;
    }

    /** Verdicts on the latest tickets, in the order of the log. */
    get verdicts(): readonly TicketVerdict[] {
        return this.history;
    }

    protected override apply(entry: TicketEntry, position: EntryPosition): void {
        if (entry.kind !== "ticket-filed") {
            return;
        }
        const evaluation: Evaluation = { entry, digest: digestOf(entry) };
        const state = chart.fire("filed", "evaluate", this, evaluation, this.binding) ?? "filed";
        const keys = entry.objects.map(each => each.key);
        const { number, author, reason, filedAt } = entry;
        const { digest, loss, winner } = evaluation;
        this.history.push({
            number,
            offset: position.offset,
            author,
            reason,
            filedAt,
            keys,
            digest,
            state,
            loss,
            winner,
        });
        if (state === "in-force") {
            this.updateSuperseded(entry.number);
        }
        this.history.splice(0, this.history.length - MAX_VERDICTS);
    }

    protected override save(): SavedState {
        return { latest: this.latest, objects: [...this.objects.values()], verdicts: this.history };
    }

    protected override load(state: unknown): void {
        const saved = state as SavedState;
        this.latest = saved.latest;
        this.objects = new Map(saved.objects.map(each => [each.key, each]));
        this.history = [...saved.verdicts];
    }

    private accepted(number: number): TicketVerdict | undefined {
        return this.history.find(
            each => each.number === number && (each.state === "in-force" || each.state === "superseded"),
        );
    }

    private newestTicketOf(entry: TicketFiled): number {
        return Math.max(0, ...entry.objects.map(each => this.objects.get(each.key)?.ticket ?? 0));
    }

    private isAnyObjectFrom(number: number): boolean {
        return [...this.objects.values()].some(each => each.ticket === number);
    }

    private reject(evaluation: Evaluation, loss: TicketLoss, winner: number): void {
        evaluation.loss = loss;
        evaluation.winner = winner;
    }

    private putInForce(entry: TicketFiled): void {
        this.latest = entry.number;
        for (const { key, value } of entry.objects) {
            // A removed object keeps its entry, so that a ticket based on an older number cannot restore it.
            this.objects.set(key, { key, value, ticket: entry.number });
        }
    }

    private updateSuperseded(newest: number): void {
        this.history = this.history.map(verdict => {
            if (verdict.state !== "in-force" || verdict.number === newest) {
                return verdict;
            }
            const entry = { number: verdict.number } as TicketFiled;
            const state = chart.fire(verdict.state, "replace", this, { entry, digest: verdict.digest }, this.binding);
            return state === undefined || state === verdict.state ? verdict : { ...verdict, state };
        });
    }
}

/** @returns Digest that is equal for tickets with the same content; two hashes make an accidental match improbable. */
function digestOf(entry: TicketFiled): string {
    const text = JSON.stringify([entry.number, entry.objects]);
    return `${hash(text).toString(16)}-${hash(`${text}#`).toString(16)}`;
}
