/** Actual resource use and run time of a family's tasks, which may differ from what is declared. */
export interface FamilyProfile {
    readonly cpus: number;
    readonly memoryGb: number;
    /** Run time without interference, in ms. */
    readonly durationMs: number;
    /** Share of the attempts that fail on any worker, 0 to 1. */
    readonly failureRate: number;
}

/** Interference by victim, then by aggressor: natural logarithm of the slowdown that one aggressor causes. */
export type InterferenceTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Simulated tasks: the profile of each family, and the interference between classes. */
export interface Workload {
    readonly families: Readonly<Record<string, FamilyProfile>>;
    readonly interference: InterferenceTable;
}

/** Profile of a family that the workload does not name. */
export const DEFAULT_FAMILY_PROFILE: FamilyProfile = { cpus: 1, memoryGb: 1, durationMs: 10_000, failureRate: 0 };
