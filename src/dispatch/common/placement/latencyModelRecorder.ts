import { RecordWriter } from "../../../records/common/recordWriter";
import { LatencyModel } from "./latencyModel";
import { encodeLatencyModel, LATENCY_MODEL_KEY } from "./latencyModelRecord";

/** Interval between records of the latency model, in ms: a successor loses at most this much of its updates. */
const RECORD_INTERVAL_MS = 5_000;

/** Records the latency model for the next leader. */
export class LatencyModelRecorder {
    private constructor(
        private readonly model: LatencyModel,
        private readonly writer: RecordWriter,
        private nextRecordAt: number,
    ) {}

    /**
     * @param model The model.
     * @param writer Writes the progress of the jobs.
     * @param now Time in ms.
     * @returns A recorder whose first record is due after one interval.
     */
    static create(model: LatencyModel, writer: RecordWriter, now: number): LatencyModelRecorder {
        return new LatencyModelRecorder(model, writer, now + RECORD_INTERVAL_MS);
    }

    /** Writes a record if one is due. @param now Time in ms. */
    tick(now: number): void {
        if (now >= this.nextRecordAt) {
            this.nextRecordAt = now + RECORD_INTERVAL_MS;
            this.writer.write(LATENCY_MODEL_KEY, () => encodeLatencyModel(this.model.rows()));
        }
    }
}
