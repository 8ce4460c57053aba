/** What tasks of a family are really like, as opposed to what is declared. */
export interface FamilyTruth {
    readonly cpus: number;
    readonly memoryGb: number;
    /** Run time when nothing else runs on the worker, in ms. */
    readonly durationMs: number;
    /** Share of the attempts that fail wherever they run, 0 to 1. */
    readonly failureRate: number;
}

/** The pairs of classes that hurt each other: slowdown (natural logarithm) of the victim by one aggressor. */
export type InterferenceTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** How the machines and tasks of a stand-in behave. */
export interface Workload {
    readonly families: Readonly<Record<string, FamilyTruth>>;
    readonly interference: InterferenceTable;
}

/** Taken for a family that the workload does not name. */
export const DEFAULT_FAMILY: FamilyTruth = { cpus: 1, memoryGb: 1, durationMs: 10_000, failureRate: 0 };
