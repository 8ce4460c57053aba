import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Offset } from "../../services/common/logService";
import { PlacedBatch } from "../../services/common/logTraffic";
import { Fold, FoldImage } from "./fold";
import chartText from "./replica.chart.yaml";
import { isCompatible, SnapshotTaken } from "./snapshot";

/** How far a reader of a stream has come. */
export type ReplicaState = "seeking" | "following" | "current";
type ReplicaEvent = "page-read" | "image-offered" | "truncated";
type ReplicaGuard = "canBeginAtHead" | "canBegin" | "isAhead" | "reachesHead";
type ReplicaAction = "begin" | "keep" | "install" | "restart" | "advance";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ReplicaState, ReplicaEvent, ReplicaGuard, ReplicaAction>(chartText, "replica.chart.yaml", {
        states: ["seeking", "following", "current"],
        events: ["page-read", "image-offered", "truncated"],
        guards: ["canBeginAtHead", "canBegin", "isAhead", "reachesHead"],
        actions: ["begin", "keep", "install", "restart", "advance"],
    }),
);

/** Consecutive records that were read together. */
export interface ReplicaPage<Entry> {
    readonly batches: readonly PlacedBatch<Entry>[];
    readonly next: Offset;
    readonly head: Offset;
}

/** State offered by another reader of the same stream. */
export interface ReplicaImage {
    readonly next: Offset;
    readonly format: string;
    readonly image: string;
}

type Payload<Entry> =
    | { readonly kind: "page"; readonly page: ReplicaPage<Entry> }
    | { readonly kind: "image"; readonly image: ReplicaImage }
    | { readonly kind: "truncated"; readonly first: Offset };

/** Called for every batch that was read, with whether the fold counted it. */
export type BatchListener<Entry> = (placed: PlacedBatch<Entry>, counted: boolean) => void;

/** Keeps a fold in step with its stream, and begins from a snapshot where the oldest records are gone. */
export class Replica<Entry extends { readonly kind: string }> {
    private readonly machine: Machine<Payload<Entry>, ReplicaState, ReplicaEvent, ReplicaGuard, ReplicaAction>;
    private kept: PlacedBatch<Entry>[] = [];
    private keptFrom: Offset;
    private position: Offset;
    private latestSnapshot: Offset | undefined;

    private constructor(
        readonly fold: Fold<Entry>,
        from: Offset,
        private readonly onBatch: BatchListener<Entry>,
    ) {
        this.keptFrom = from;
        this.position = from;
        this.machine = Machine.create(chart, {
            guards: {
                canBeginAtHead: payload =>
                    payload.kind === "page" && payload.page.next >= payload.page.head && this.canBegin(payload.page),
                canBegin: payload => payload.kind === "page" && this.canBegin(payload.page),
                isAhead: payload => payload.kind === "image" && payload.image.next > this.position,
                reachesHead: payload => payload.kind === "page" && payload.page.next >= payload.page.head,
            },
            actions: {
                begin: payload => payload.kind === "page" && this.begin(payload.page),
                keep: payload => payload.kind === "page" && this.keep(payload.page),
                install: payload => payload.kind === "image" && this.install(payload.image),
                restart: payload => payload.kind === "truncated" && this.restart(payload.first),
                advance: payload => payload.kind === "page" && this.advance(payload.page.batches, payload.page.next),
            },
        });
    }

    /**
     * @param fold Fold in its empty state, which is the state before offset 0.
     * @param from Offset to begin reading at.
     * @param onBatch Told of every batch as it is applied.
     * @returns A replica that has read nothing.
     */
    static create<E extends { readonly kind: string }>(
        fold: Fold<E>,
        from: Offset,
        onBatch: BatchListener<E>,
    ): Replica<E> {
        return new Replica(fold, from, onBatch);
    }

    /** How far the replica has come. */
    get state(): ReplicaState {
        return this.machine.state;
    }

    /** Offset of the next record to read. */
    get next(): Offset {
        return this.position;
    }

    /** Offset up to which the newest snapshot in the stream goes, if one has been read. */
    get snapshotNext(): Offset | undefined {
        return this.latestSnapshot;
    }

    /** @returns The state to hand to another reader; `undefined` before there is one. */
    image(): ReplicaImage | undefined {
        if (this.state === "seeking") {
            return undefined;
        }
        return { next: this.position, format: this.fold.format, image: JSON.stringify(this.fold.image()) };
    }

    /**
     * Takes in records that were read from `next` on. A page from elsewhere is an answer to an older read.
     * @param from Offset that was asked for.
     * @param page The records.
     */
    read(from: Offset, page: ReplicaPage<Entry>): void {
        if (from === this.position) {
            this.machine.fire("page-read", { kind: "page", page });
        }
    }

    /**
     * Takes in the state of another reader, if it is ahead.
     * @param image The state.
     */
    offer(image: ReplicaImage): void {
        if (isCompatible(this.fold.format, image.format)) {
            this.machine.fire("image-offered", { kind: "image", image });
        }
    }

    /**
     * Notes that the records up to `first` are gone.
     * @param first Oldest offset that is left.
     */
    truncate(first: Offset): void {
        if (first > this.position) {
            this.machine.fire("truncated", { kind: "truncated", first });
        }
    }

    private canBegin(page: ReplicaPage<Entry>): boolean {
        return this.keptFrom === 0 || this.findSnapshot([...this.kept, ...page.batches]) !== undefined;
    }

    private begin(page: ReplicaPage<Entry>): void {
        const batches = [...this.kept, ...page.batches];
        const snapshot = this.keptFrom === 0 ? undefined : this.findSnapshot(batches);
        if (snapshot !== undefined) {
            this.fold.restore(JSON.parse(snapshot.image) as FoldImage);
        }
        const start = snapshot?.next ?? 0;
        this.kept = [];
        this.advance(
            batches.filter(placed => placed.offset >= start),
            page.next,
        );
    }

    private keep(page: ReplicaPage<Entry>): void {
        this.kept.push(...page.batches);
        this.position = page.next;
    }

    private install(image: ReplicaImage): void {
        this.fold.restore(JSON.parse(image.image) as FoldImage);
        this.kept = [];
        this.position = image.next;
    }

    private restart(first: Offset): void {
        this.kept = [];
        this.keptFrom = first;
        this.position = first;
    }

    private advance(batches: readonly PlacedBatch<Entry>[], next: Offset): void {
        for (const placed of batches) {
            const counted = this.fold.accept(placed);
            this.noteSnapshot(placed);
            this.position = placed.offset + 1;
            this.onBatch(placed, counted);
        }
        this.position = next;
    }

    private noteSnapshot(placed: PlacedBatch<Entry>): void {
        for (const entry of placed.batch.entries) {
            if (isSnapshot(entry)) {
                this.latestSnapshot = entry.next;
            }
        }
    }

    /** The newest snapshot whose later records have all been kept. */
    private findSnapshot(batches: readonly PlacedBatch<Entry>[]): SnapshotTaken | undefined {
        return batches
            .flatMap(placed => placed.batch.entries as readonly { readonly kind: string }[])
            .filter(isSnapshot)
            .filter(entry => entry.next >= this.keptFrom && isCompatible(this.fold.format, entry.format))
            .at(-1);
    }
}

function isSnapshot(entry: { readonly kind: string }): entry is SnapshotTaken {
    return entry.kind === "snapshot-taken";
}
