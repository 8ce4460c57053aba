import { WorkMeter } from "../../base/common/workMeter";
import { LoadOrder } from "./loadSequence";
import { WorkKind } from "./workKind";

/** Identity and resources of one instance. */
export interface JobInstanceIdentity {
    /** Name that is unique to each start. */
    readonly instance: string;
    /** Name of its host, on which one process with this name runs at a time. */
    readonly host: string;
    /** Number that differs between instances. */
    readonly nonce: number;
    /** Round trip to the store in ms, or `undefined` before the first call. */
    readonly storeRoundTripMs: () => number | undefined;
    /** How much longer than the round trip the store takes to answer now, in ms; 0 if left out. */
    readonly storeExcessMs?: () => number;
    /** In which order it loads its streams; all at once if left out. */
    readonly loadOrder?: LoadOrder;
    /** CPU available to the instance, in cores. */
    readonly cores: number;
    /** Measures the work of the instance; left out if it is not measured. */
    readonly work?: WorkMeter<WorkKind>;
}
