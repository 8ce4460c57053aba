import { EffectSink } from "../../base/common/effectSink";
import { DecisionEffect } from "../../dispatch/common/scheduler/dispatchEffects";
import { EvacuationTable } from "../../dispatch/common/workers/evacuationTable";
import { QueueTable } from "../../jobs/common/queueTable";
import { StoredRecord } from "../../records/common/record";
import { RecordReceiver } from "../../records/common/recordFollower";
import { PageTransfer } from "../../records/common/recordStore";
import { EntryDecoder } from "./entryDecoder";

/** What the operator decides. */
export interface OperatorTables {
    readonly queues: QueueTable;
    readonly evacuations: EvacuationTable;
}

/** Applies the records of the operator: configurations, and the evacuations of failure domains. */
export class OperatorReceiver extends RecordReceiver {
    private constructor(
        private readonly decoder: EntryDecoder,
        private readonly tables: OperatorTables,
        private readonly effects: EffectSink<DecisionEffect>,
        private readonly latestTransfer: () => PageTransfer | undefined,
    ) {
        super();
        tables.evacuations.onDidChange(({ failureDomain, isEvacuated }) =>
            effects.emit({
                kind: "decision",
                name: isEvacuated ? "domain-evacuated" : "domain-restored",
                data: { failureDomain },
            }),
        );
    }

    /**
     * @param decoder Decodes the records.
     * @param tables What the records change.
     * @param effects Sink for log lines.
     * @param latestTransfer Returns how the latest page of the stream travelled.
     * @returns The receiver.
     */
    static create(
        decoder: EntryDecoder,
        tables: OperatorTables,
        effects: EffectSink<DecisionEffect>,
        latestTransfer: () => PageTransfer | undefined,
    ): OperatorReceiver {
        return new OperatorReceiver(decoder, tables, effects, latestTransfer);
    }

    override apply(record: StoredRecord): void {
        if (this.decoder.isEvacuation(record.key)) {
            this.applyEvacuation(record);
        } else {
            this.applyConfiguration(record);
        }
    }

    override retainKeys(keys: ReadonlySet<string>): void {
        // A configuration stays in force until there is a newer one.
        const evacuated = [...keys].flatMap(key => this.decoder.decodeEvacuation(key) ?? []);
        this.tables.evacuations.retain(new Set(evacuated));
    }

    override replacesAll(record: StoredRecord): boolean {
        return this.decoder.isConfiguration(record);
    }

    /** A domain is evacuated until the record is removed. */
    private applyEvacuation(record: StoredRecord): void {
        const failureDomain = this.decoder.decodeEvacuation(record.key);
        const isEvacuated = record.value !== undefined;
        if (failureDomain !== undefined) {
            this.tables.evacuations.set({ failureDomain, isEvacuated });
        } else if (isEvacuated) {
            this.logMalformed(record);
        }
    }

    private applyConfiguration(record: StoredRecord): void {
        const configuration = this.decoder.decodeConfiguration(record);
        if (configuration === undefined && this.decoder.isConfiguration(record)) {
            this.logMalformed(record);
        }
        if (configuration !== undefined && this.tables.queues.apply(configuration)) {
            const { version } = configuration;
            const transfer = this.latestTransfer();
            const travel = transfer && { bytes: transfer.bytes, transferMs: Math.round(transfer.durationMs) };
            this.effects.emit({ kind: "decision", name: "config-applied", data: { version, ...travel } });
        }
    }

    private logMalformed({ key, offset }: StoredRecord): void {
        this.effects.emit({ kind: "decision", name: "record-malformed", data: { stream: "operator", key, offset } });
    }
}
