import { ChartLoader } from "../../base/common/chartLoader";
import { ChartRegistry } from "../../base/common/chartRegistry";
import { Machine } from "../../base/common/machine";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipManager";
import { Feature } from "./feature";
import { FeatureRegistry } from "./featureRegistry";
import "./features";
import chartText from "./instance.chart.yaml";
import { InstanceServices } from "./instanceServices";
import { InstanceEffect, InstanceEvent } from "./instanceEvents";

/** State of an instance. */
export type InstanceState = "starting" | "serving" | "draining" | "stopped";
type LifecycleEvent = "synced" | "stop" | "drained";
type LifecycleAction = "drain" | "end";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<InstanceState, LifecycleEvent, never, LifecycleAction>(chartText, "instance.chart.yaml", {
        states: ["starting", "serving", "draining", "stopped"],
        events: ["synced", "stop", "drained"],
        guards: [],
        actions: ["drain", "end"],
    }),
);

/** Decision logic of one instance: handles events one at a time and returns the effects to perform. */
export class Instance {
    private readonly services: InstanceServices;
    private readonly features: readonly Feature[];
    private readonly machine: Machine<number, InstanceState, LifecycleEvent, never, LifecycleAction>;

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
     * @param identity Name, address and location of the instance.
     * @param plan All shards; must be the same on every instance.
     * @returns An instance that has not handled any event yet.
     */
    static create(identity: InstanceIdentity, plan: readonly ShardPlan[]): Instance {
        return new Instance(identity, plan);
    }

    get state(): InstanceState {
        return this.machine.state;
    }

    /** State and services that the features share; front ends only read it. */
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

    /** Starts reading the log. @param now Time in ms. @returns The effects to perform. */
    start(now: number): InstanceEffect[] {
        this.services.tickets.open(now);
        this.services.ownershipSession.open(now);
        return this.services.outbox.drain();
    }

    /**
     * Handles one event.
     * @param event The event.
     * @param now Time in ms of a monotonic clock.
     * @param wallNow Time in ms since the Unix epoch.
     * @returns The effects to perform, in order.
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
            this.machine.fire("synced", now);
        }
        if (ownership.isGone && this.features.every(feature => feature.isIdle)) {
            this.machine.fire("drained", now);
        }
    }
}
