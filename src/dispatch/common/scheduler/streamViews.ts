import { DelayState, DelaySummary } from "../../../base/common/loopDelay";

/** How far a stream has been read. */
export interface StreamView {
    /** Time (ms) up to which all records are known; `undefined` before the stream is loaded. */
    readonly knownUntil: number | undefined;
}

/** How late the loop is that reads the streams. */
export interface LoopView {
    readonly summary: DelaySummary;
    readonly state: DelayState;
}

/** The streams on which a leader's decisions depend. */
export interface StreamViews {
    /** Submissions and cancellations. */
    readonly jobs: StreamView;
    /** Configurations and evacuations. */
    readonly configuration: StreamView;
    readonly workers: StreamView;
    /** Left out if it is not measured. */
    readonly loop?: LoopView;
}

/** How long the leader takes for what it does. */
export interface LeaderPace {
    /** Largest delay of its loop of late, in ms. */
    readonly delayMs: number;
    /** Time from the choice of a worker to the answer to the start, in ms; `undefined` if no start was answered of late. */
    readonly startMs: number | undefined;
}
