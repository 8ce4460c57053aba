import { Emitter } from "./emitter";

/** A promise of the system that an assertion inside the program watches. */
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

/** An assertion that did not hold. */
export interface Violation {
    readonly invariant: InvariantName;
    readonly detail: string;
}

/** Counts the assertions that do not hold. Tests subscribe and fail; production counts and logs. */
export class Invariants {
    private readonly violations = Emitter.create<Violation>();
    private readonly counts = new Map<InvariantName, number>();

    private constructor() {}

    /** The assertions of this process. */
    static readonly instance = new Invariants();

    /** Fires for each assertion that does not hold. */
    readonly onDidViolate = this.violations.event;

    /**
     * Asserts one invariant.
     * @param invariant Name of the promise.
     * @param holds Whether it holds.
     * @param detail Describes the case; called only when it does not hold.
     */
    check(invariant: InvariantName, holds: boolean, detail: () => string): void {
        if (!holds) {
            this.counts.set(invariant, (this.counts.get(invariant) ?? 0) + 1);
            this.violations.fire({ invariant, detail: detail() });
        }
    }

    /** @returns How often each assertion failed; those that never did are left out. */
    violated(): ReadonlyMap<InvariantName, number> {
        return this.counts;
    }
}
