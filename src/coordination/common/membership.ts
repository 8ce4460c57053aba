import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./membership.chart.yaml";
import { InstancePhase } from "./ownershipEntry";

/** Part of an instance among the others. */
export type MembershipState = "serving" | "leaving" | "saying" | "gone";
type MembershipEvent = "drain" | "settled" | "said";
type MembershipGuard = "hasNothing";
type MembershipAction = "sayFarewell";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<MembershipState, MembershipEvent, MembershipGuard, MembershipAction>(
        chartText,
        "membership.chart.yaml",
        {
            states: ["serving", "leaving", "saying", "gone"],
            events: ["drain", "settled", "said"],
            guards: ["hasNothing"],
            actions: ["sayFarewell"],
        },
    ),
);

/** What membership asks of its keeper. */
export abstract class MembershipHost {
    /** @returns Whether the instance holds nothing any more. */
    abstract hasNothing(): boolean;
    /** Appends the farewell. */
    abstract sayFarewell(): void;
}

/** One instance's part among the others, from its first renewal to its farewell. */
export class Membership {
    private readonly machine: Machine<undefined, MembershipState, MembershipEvent, MembershipGuard, MembershipAction>;

    private constructor(host: MembershipHost) {
        this.machine = Machine.create(chart, {
            guards: { hasNothing: () => host.hasNothing() },
            actions: { sayFarewell: () => host.sayFarewell() },
        });
    }

    /** @param host Acts on the decisions. @returns The part of an instance that serves. */
    static create(host: MembershipHost): Membership {
        return new Membership(host);
    }

    /** State of the part. */
    get state(): MembershipState {
        return this.machine.state;
    }

    /** What renewals say of it. */
    get phase(): InstancePhase {
        return this.state === "serving" ? "serving" : "draining";
    }

    /** Notes an event. */
    fire(event: MembershipEvent): void {
        this.machine.fire(event, undefined);
    }
}
