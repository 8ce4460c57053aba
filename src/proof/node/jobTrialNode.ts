import { JobInstance } from "../../host/common/jobInstance";

/** One instance of a trial and what is done to it. */
export interface TrialNode {
    readonly index: number;
    instance: JobInstance | undefined;
    life: number;
    /** Time for which the steady clock stood still, in ms. */
    frozenMs: number;
    frozenUntil: number;
    storeCutUntil: number;
    held: (() => void)[];
}

/** Something that happens at a time; of two at the same time the earlier one asked for comes first. */
export interface TimedAction {
    readonly at: number;
    readonly order: number;
    readonly act: () => void;
}
