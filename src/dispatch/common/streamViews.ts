/** How far a stream has been read. */
export interface StreamView {
    /** Time (ms) up to which all records are known; `undefined` before the stream is loaded. */
    readonly knownUntil: number | undefined;
}

/** The streams on which a leader's decisions depend. */
export interface StreamViews {
    /** Submissions and cancellations. */
    readonly jobs: StreamView;
    readonly configuration: StreamView;
    readonly workers: StreamView;
}
