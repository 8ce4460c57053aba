import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipKeeper";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import "./features";
import chartText from "./instance.chart.yaml";
import { InstanceServices } from "./instanceServices";
import { InstanceEffect, InstanceEvent } from "./instanceTraffic";

/** State of an instance. */
export type InstanceState = "starting" | "serving" | "draining" | "stopped";
type LifeEvent = "informed" | "stop" | "drained";
type LifeAction = "drain" | "end";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<InstanceState, LifeEvent, never, LifeAction>(chartText, "instance.chart.yaml", {
        states: ["starting", "serving", "draining", "stopped"],
        events: ["informed", "stop", "drained"],
        guards: [],
        actions: ["drain", "end"],
    }),
);

/** All decisions of one instance: takes in events one at a time, and answers with the effects that they ask for. */
export class Instance {
    private readonly services: InstanceServices;
    private readonly features: readonly Feature[];
    private readonly machine: Machine<number, InstanceState, LifeEvent, never, LifeAction>;

    private constructor(identity: InstanceIdentity, plan: readonly ShardPlan[]) {
        this.services = InstanceServices.create(identity, plan);
        this.features = FeatureRegistry.instance.createAll(this.services);
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                drain: () => {
                    this.services.isStopping = true;
                    this.services.ownership.drain();
                },
                end: () => this.services.outbox.emit({ kind: "stopped" }),
            },
        });
    }

    /**
     * @param identity Who the instance is.
     * @param plan All shards; every instance must be given the same.
     * @returns An instance that has learnt nothing yet.
     */
    static create(identity: InstanceIdentity, plan: readonly ShardPlan[]): Instance {
        return new Instance(identity, plan);
    }

    /** State of the instance. */
    get state(): InstanceState {
        return this.machine.state;
    }

    /** What the instance's parts share; for the front ends to read. */
    get shared(): InstanceServices {
        return this.services;
    }

    /**
     * @param type Class of a feature.
     * @returns The instance's feature of that class.
     */
    feature<T extends Feature>(type: { readonly prototype: T }): T {
        return this.features.find(each => type.prototype.isPrototypeOf(each)) as T;
    }

    /** Begins to read the log. @param now Time in ms. @returns The effects asked for. */
    start(now: number): InstanceEffect[] {
        this.services.tickets.open(now);
        this.services.ownershipSession.open(now);
        return this.services.outbox.drain();
    }

    /**
     * Takes in one event.
     * @param event The event.
     * @param now Time in ms, of a clock that never goes back.
     * @param wallNow Time in ms since the Unix epoch.
     * @returns The effects asked for, in order.
     */
    dispatch(event: InstanceEvent, now: number, wallNow: number): InstanceEffect[] {
        if (event.kind === "tick") {
            this.tick(now, wallNow);
        } else if (event.kind === "stop") {
            this.machine.fire("stop", now);
        } else {
            this.features.forEach(feature => feature.handle(event, now));
        }
        return this.services.outbox.drain();
    }

    private tick(now: number, wallNow: number): void {
        const { tickets, ownershipSession, ownership } = this.services;
        tickets.tick(now);
        ownershipSession.tick(now);
        ownership.tick(now);
        this.features.forEach(feature => feature.tick(now, wallNow));
        tickets.flush(now);
        ownershipSession.flush(now);
        if (tickets.isReady && ownershipSession.isReady) {
            this.machine.fire("informed", now);
        }
        if (ownership.isGone && this.features.every(feature => feature.isIdle)) {
            this.machine.fire("drained", now);
        }
    }
}
