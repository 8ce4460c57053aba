import { JobInstance } from "../../host/common/jobInstance";
import { TrialConnections } from "./trialConnections";
import { TrialProcessor } from "./trialProcessor";

/** One node of a trial, its current instance and the faults injected into it. */
export interface TrialNode {
    readonly index: number;
    /** The running instance; undefined between a kill and the restart. */
    instance: JobInstance | undefined;
    incarnation: number;
    /** Total time for which the monotonic clock of this incarnation stood still, in ms. */
    frozenMs: number;
    frozenUntil: number;
    storeCutUntil: number;
    /** Events that arrived during a freeze. */
    deferred: (() => void)[];
    /** Processor of this incarnation; left out if its work takes no time. */
    processor?: TrialProcessor;
    /** Connections of this incarnation. */
    connections?: TrialConnections;
}
