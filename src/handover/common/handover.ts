import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import chartText from "./handover.chart.yaml";
import { SuccessorChoice } from "./successorChoice";

type HandoverState = "leading" | "awaiting" | "over";
type HandoverEvent = "stop" | "outclassed" | "overdue" | "succeeded" | "deposed";
type HandoverGuard = "hasSuccessor" | "isStopping";
type HandoverAction = "begin" | "name" | "extend" | "abandon" | "resign" | "withdraw" | "reportEnd";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<HandoverState, HandoverEvent, HandoverGuard, HandoverAction>(chartText, "handover.chart.yaml", {
        states: ["leading", "awaiting", "over"],
        events: ["stop", "outclassed", "overdue", "succeeded", "deposed"],
        guards: ["hasSuccessor", "isStopping"],
        actions: ["begin", "name", "extend", "abandon", "resign", "withdraw", "reportEnd"],
    }),
);

/**
 * Share of the grace period in which successors may take over. In the rest, the leader resigns, another instance claims as after any
 * resignation, and the process ends.
 */
const HANDOVER_RATIO = 0.4;

/** Number of successors that may be named in that time, one after the other. */
const MAX_NAMED = 2;

/** Time after which a leader that no instance has replaced looks for a stronger one again, in ms. */
const RETRY_INTERVAL_MS = 5_000;

/** Why a leader hands over. `stopping`: its process is told to stop. `outclassed`: another instance is much stronger. */
export type HandoverReason = "stopping" | "outclassed";

/** Lines of the decision log about handovers. */
export type HandoverDecision = "handover-began" | "successor-named" | "handover-ended" | "handover-abandoned";

/** Host of a handover: the office of the leader. */
export abstract class HandoverHost {
    /**
     * @param reason Why the leader hands over.
     * @param refused Instances that were named and did not take over.
     * @returns The instance that suits best, or `undefined` if none does.
     */
    abstract choose(reason: HandoverReason, refused: ReadonlySet<string>): SuccessorChoice | undefined;

    /** Names an instance in the leader's record, or none. */
    abstract name(successor: string | undefined): void;

    /** Gives up leadership without a successor. @param now Time in ms. */
    abstract resign(now: number): void;

    /** Adds a line to the decision log. */
    abstract log(name: HandoverDecision, data: Readonly<Record<string, string | number | boolean | undefined>>): void;
}

/**
 * Hands the shard of a leader over to an instance that it names, and resigns if none takes over in time. Load pattern: a leader is told to
 * stop while tasks start and end all the time; without a handover nothing starts until another instance has claimed, read the
 * progress, and reached the workers.
 */
export class Handover {
    private readonly machine: Machine<number, HandoverState, HandoverEvent, HandoverGuard, HandoverAction>;
    private readonly refused = new Set<string>();
    private reason: HandoverReason = "outclassed";
    private named: string | undefined;
    private beganAt = 0;
    private namedAt = 0;
    private retryAt = 0;

    private constructor(
        private readonly graceMs: number,
        private readonly host: HandoverHost,
    ) {
        this.machine = Machine.create(chart, {
            guards: {
                hasSuccessor: now => this.choose(now) !== undefined,
                isStopping: () => this.reason === "stopping",
            },
            actions: {
                begin: now => this.begin(now),
                name: now => this.name(now),
                extend: now => (this.namedAt = now),
                abandon: now => this.abandon(now),
                resign: now => this.host.resign(now),
                withdraw: now => this.withdraw(now),
                reportEnd: now => this.reportEnd(now),
            },
        });
    }

    /**
     * @param graceMs Time from the request to stop a process to its forced end, in ms.
     * @param host Office of the leader.
     * @returns The handover of a leader that has just begun.
     */
    static create(graceMs: number, host: HandoverHost): Handover {
        return new Handover(graceMs, host);
    }

    /** Whether a successor is awaited. */
    get isAwaiting(): boolean {
        return this.machine.state === "awaiting";
    }

    /** Hands over since the process is told to stop; resigns if no instance suits. @param now Time in ms. */
    stop(now: number): void {
        this.reason = "stopping";
        this.machine.fire("stop", now);
    }

    /** Hands over if another instance is much stronger. @param now Time in ms. */
    reviewStrength(now: number): void {
        if (now >= this.retryAt) {
            this.retryAt = now + RETRY_INTERVAL_MS;
            this.machine.fire("outclassed", now);
        }
    }

    /** Names another successor, or gives up, when the time of the present one is over. @param now Time in ms. */
    tick(now: number): void {
        if (this.isAwaiting && now - this.namedAt >= this.shareMs / MAX_NAMED) {
            this.refused.add(this.named!);
            this.machine.fire("overdue", now);
        }
    }

    /**
     * Ends it when another instance has claimed.
     * @param leader The new leader; `undefined` if only its fence is known, which is then mostly that of the successor.
     * @param now Time in ms.
     */
    end(leader: string | undefined, now: number): void {
        this.machine.fire(leader === undefined || leader === this.named ? "succeeded" : "deposed", now);
    }

    private get shareMs(): number {
        return this.graceMs * HANDOVER_RATIO;
    }

    private choose(now: number): SuccessorChoice | undefined {
        const isInTime = this.named === undefined || now - this.beganAt < this.shareMs;
        return isInTime ? this.host.choose(this.reason, this.refused) : undefined;
    }

    private begin(now: number): void {
        this.beganAt = now;
        this.host.log("handover-began", { reason: this.reason, shareMs: this.shareMs });
    }

    private name(now: number): void {
        const choice = this.choose(now)!;
        this.named = choice.successor;
        this.namedAt = now;
        this.host.name(choice.successor);
        this.host.log("successor-named", { ...choice });
    }

    private withdraw(now: number): void {
        this.named = undefined;
        this.refused.clear();
        this.retryAt = now + RETRY_INTERVAL_MS;
        this.host.name(undefined);
    }

    private abandon(now: number): void {
        const { reason, named, refused } = this;
        const tookMs = named === undefined ? 0 : Math.round(now - this.beganAt);
        this.host.log("handover-abandoned", { reason, successor: named, named: refused.size, tookMs });
    }

    private reportEnd(now: number): void {
        const { reason, named: successor } = this;
        this.host.log("handover-ended", { reason, successor, tookMs: Math.round(now - this.beganAt) });
    }
}
