/** Measures the time that the loop spends on each kind of work. */
export abstract class WorkMeter<Kind extends string> {
    /**
     * Does a piece of work. Time that other work takes within it counts for that work only.
     * @param kind Kind of the work.
     * @param work Does the work.
     * @returns What the work returns.
     */
    abstract measure<T>(kind: Kind, work: () => T): T;

    /** @param kind Kind of work. @returns Time that the latest piece of this kind took by itself, in ms; 0 if there is none. */
    abstract lastMs(kind: Kind): number;
}
