import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./membership.chart.yaml";
import { InstancePhase } from "./ownershipEntry";

/** State of an instance's membership. */
export type MembershipState = "serving" | "leaving" | "announcing" | "gone";
type MembershipEvent = "drain" | "checked" | "announced";
type MembershipGuard = "hasReleasedAll";
type MembershipAction = "announceEnd";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<MembershipState, MembershipEvent, MembershipGuard, MembershipAction>(
        chartText,
        "membership.chart.yaml",
        {
            states: ["serving", "leaving", "announcing", "gone"],
            events: ["drain", "checked", "announced"],
            guards: ["hasReleasedAll"],
            actions: ["announceEnd"],
        },
    ),
);

/** Answers the guards of a `Membership` and executes its decisions. */
export abstract class MembershipHost {
    /** @returns Whether the instance owns no shard, uses no grant and has no presence entry in flight. */
    abstract hasReleasedAll(): boolean;
    /** Appends the entry `instance-gone`. */
    abstract announceEnd(): void;
}

/** One instance's membership, from its first presence entry to its entry `instance-gone`. */
export class Membership {
    private readonly machine: Machine<undefined, MembershipState, MembershipEvent, MembershipGuard, MembershipAction>;

    private constructor(host: MembershipHost) {
        this.machine = Machine.create(chart, {
            guards: { hasReleasedAll: () => host.hasReleasedAll() },
            actions: { announceEnd: () => host.announceEnd() },
        });
    }

    /** @param host Executes the decisions. @returns A membership in state `serving`. */
    static create(host: MembershipHost): Membership {
        return new Membership(host);
    }

    get state(): MembershipState {
        return this.machine.state;
    }

    /** Phase that the presence entries carry. */
    get phase(): InstancePhase {
        return this.state === "serving" ? "serving" : "draining";
    }

    /** @param event What happened. */
    fire(event: MembershipEvent): void {
        this.machine.fire(event, undefined);
    }
}
