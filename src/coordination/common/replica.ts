import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { Offset } from "../../services/common/logService";
import { PlacedBatch } from "../../services/common/logEvents";
import { Fold, FoldImage } from "./fold";
import chartText from "./replica.chart.yaml";
import { isCompatible, SnapshotTaken } from "./snapshot";

/** Progress of a reader of a stream. */
export type ReplicaState = "bootstrapping" | "catching-up" | "current";
type ReplicaEvent = "page-read" | "image-offered" | "truncated";
type ReplicaGuard = "canStartAtHead" | "canStart" | "isAhead" | "reachesHead";
type ReplicaAction = "start" | "buffer" | "installImage" | "restart" | "applyPage";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<ReplicaState, ReplicaEvent, ReplicaGuard, ReplicaAction>(chartText, "replica.chart.yaml", {
        states: ["bootstrapping", "catching-up", "current"],
        events: ["page-read", "image-offered", "truncated"],
        guards: ["canStartAtHead", "canStart", "isAhead", "reachesHead"],
        actions: ["start", "buffer", "installImage", "restart", "applyPage"],
    }),
);

/** Consecutive records from one read. */
export interface ReplicaPage<Entry> {
    readonly batches: readonly PlacedBatch<Entry>[];
    readonly next: Offset;
    readonly head: Offset;
}

/** State from another reader of the same stream. */
export interface ReplicaImage {
    readonly next: Offset;
    readonly format: string;
    readonly image: string;
}

type Payload<Entry> =
    | { readonly kind: "page"; readonly page: ReplicaPage<Entry> }
    | { readonly kind: "image"; readonly image: ReplicaImage }
    | { readonly kind: "truncated"; readonly first: Offset };

/** Called for every batch passed to the fold, with whether the fold applied it. */
export type BatchListener<Entry> = (placed: PlacedBatch<Entry>, isNew: boolean) => void;

/** Keeps a fold up to date with its stream. Starts from a snapshot if the oldest records have been removed. */
export class Replica<Entry extends { readonly kind: string }> {
    private readonly machine: Machine<Payload<Entry>, ReplicaState, ReplicaEvent, ReplicaGuard, ReplicaAction>;
    private buffered: PlacedBatch<Entry>[] = [];
    private bufferedFrom: Offset;
    private position: Offset;
    private latestSnapshot: Offset | undefined;

    private constructor(
        readonly fold: Fold<Entry>,
        from: Offset,
        private readonly onBatch: BatchListener<Entry>,
    ) {
        this.bufferedFrom = from;
        this.position = from;
        this.machine = Machine.create(chart, {
            guards: {
                canStartAtHead: payload =>
                    payload.kind === "page" && payload.page.next >= payload.page.head && this.canStart(payload.page),
                canStart: payload => payload.kind === "page" && this.canStart(payload.page),
                isAhead: payload => payload.kind === "image" && payload.image.next > this.position,
                reachesHead: payload => payload.kind === "page" && payload.page.next >= payload.page.head,
            },
            actions: {
                start: payload => payload.kind === "page" && this.start(payload.page),
                buffer: payload => payload.kind === "page" && this.buffer(payload.page),
                installImage: payload => payload.kind === "image" && this.installImage(payload.image),
                restart: payload => payload.kind === "truncated" && this.restart(payload.first),
                applyPage: payload =>
                    payload.kind === "page" && this.applyRecords(payload.page.batches, payload.page.next),
            },
        });
    }

    /**
     * @param fold Fold in its empty state, that is the state before offset 0.
     * @param from Offset of the first record to read.
     * @param onBatch Called for every batch passed to the fold.
     * @returns A replica that has read nothing.
     */
    static create<E extends { readonly kind: string }>(
        fold: Fold<E>,
        from: Offset,
        onBatch: BatchListener<E>,
    ): Replica<E> {
        return new Replica(fold, from, onBatch);
    }

    /** Progress of the replica. */
    get state(): ReplicaState {
        return this.machine.state;
    }

    /** Offset of the next record to read. */
    get next(): Offset {
        return this.position;
    }

    /** Offset after the last record that the newest snapshot includes; `undefined` if none was read. */
    get snapshotNext(): Offset | undefined {
        return this.latestSnapshot;
    }

    /** @returns The state, for another reader; `undefined` before there is one. */
    image(): ReplicaImage | undefined {
        if (this.state === "bootstrapping") {
            return undefined;
        }
        return { next: this.position, format: this.fold.format, image: JSON.stringify(this.fold.image()) };
    }

    /**
     * Handles records that were read from `next` on. A page from another offset belongs to an older read and is
     * dropped.
     * @param from Offset that the read asked for.
     * @param page The records.
     */
    handlePage(from: Offset, page: ReplicaPage<Entry>): void {
        if (from === this.position) {
            this.machine.fire("page-read", { kind: "page", page });
        }
    }

    /**
     * Installs the state of another reader, if it is ahead and its format is compatible.
     * @param image The state.
     */
    installIfAhead(image: ReplicaImage): void {
        if (isCompatible(this.fold.format, image.format)) {
            this.machine.fire("image-offered", { kind: "image", image });
        }
    }

    /**
     * Handles the removal of the records before `first` from the stream.
     * @param first Oldest remaining offset.
     */
    handleTruncation(first: Offset): void {
        if (first > this.position) {
            this.machine.fire("truncated", { kind: "truncated", first });
        }
    }

    private canStart(page: ReplicaPage<Entry>): boolean {
        return this.bufferedFrom === 0 || this.findSnapshot([...this.buffered, ...page.batches]) !== undefined;
    }

    private start(page: ReplicaPage<Entry>): void {
        const batches = [...this.buffered, ...page.batches];
        const snapshot = this.bufferedFrom === 0 ? undefined : this.findSnapshot(batches);
        if (snapshot !== undefined) {
            this.fold.restore(JSON.parse(snapshot.image) as FoldImage);
        }
        const firstOffset = snapshot?.next ?? 0;
        this.buffered = [];
        this.applyRecords(
            batches.filter(placed => placed.offset >= firstOffset),
            page.next,
        );
    }

    private buffer(page: ReplicaPage<Entry>): void {
        this.buffered.push(...page.batches);
        this.position = page.next;
    }

    private installImage(image: ReplicaImage): void {
        this.fold.restore(JSON.parse(image.image) as FoldImage);
        this.buffered = [];
        this.position = image.next;
    }

    private restart(first: Offset): void {
        this.buffered = [];
        this.bufferedFrom = first;
        this.position = first;
    }

    private applyRecords(batches: readonly PlacedBatch<Entry>[], next: Offset): void {
        for (const placed of batches) {
            const isNew = this.fold.applyBatch(placed);
            this.recordSnapshot(placed);
            this.position = placed.offset + 1;
            this.onBatch(placed, isNew);
        }
        this.position = next;
    }

    private recordSnapshot(placed: PlacedBatch<Entry>): void {
        for (const entry of placed.batch.entries) {
            if (isSnapshot(entry)) {
                this.latestSnapshot = entry.next;
            }
        }
    }

    /** @returns The newest compatible snapshot after which no record is missing. */
    private findSnapshot(batches: readonly PlacedBatch<Entry>[]): SnapshotTaken | undefined {
        return batches
            .flatMap(placed => placed.batch.entries as readonly { readonly kind: string }[])
            .filter(isSnapshot)
            .filter(entry => entry.next >= this.bufferedFrom && isCompatible(this.fold.format, entry.format))
            .at(-1);
    }
}

function isSnapshot(entry: { readonly kind: string }): entry is SnapshotTaken {
    return entry.kind === "snapshot-taken";
}
