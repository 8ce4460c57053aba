import { Emitter } from "./emitter";

/** A guarantee of the system that the program asserts at run time. */
export type InvariantName =
    | "capacity"
    | "single-run"
    | "resume-once"
    | "whole-answer"
    | "not-run-is-true"
    | "at-most-once"
    | "no-work-to-leaving"
    | "graceful-stop"
    | "ticket-never-reverts"
    | "same-fold"
    | "nothing-lost";

/** A failed assertion. */
export interface Violation {
    readonly invariant: InvariantName;
    readonly detail: string;
}

/** Checks invariants and counts violations. Tests subscribe and fail; production counts and logs. */
export class Invariants {
    private readonly violations = Emitter.create<Violation>();
    private readonly counts = new Map<InvariantName, number>();

    private constructor() {}

    /** The invariants of this process. */
    static readonly instance = new Invariants();

    /** Fires for each violation. */
    readonly onDidViolate = this.violations.event;

    /**
     * Asserts one invariant.
     * @param invariant Name of the invariant.
     * @param holds Whether it holds.
     * @param detail Describes the violation; called only when the invariant does not hold.
     */
    check(invariant: InvariantName, holds: boolean, detail: () => string): void {
        if (!holds) {
            this.counts.set(invariant, (this.counts.get(invariant) ?? 0) + 1);
            this.violations.fire({ invariant, detail: detail() });
        }
    }

    /** @returns Number of violations by invariant; invariants without violations are left out. */
    violationCounts(): ReadonlyMap<InvariantName, number> {
        return this.counts;
    }
}
