import { InstanceEvent } from "./instanceEvents";

/** A part of an instance that handles events. */
export abstract class Feature {
    /** Handles an event. @param event The event. @param now Time in ms. */
    abstract handle(event: InstanceEvent, now: number): void;

    /** Runs periodic work. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    abstract tick(now: number, wallNow: number): void;

    /** Whether the feature has no pending work that must complete before the instance stops. */
    get isIdle(): boolean {
        return true;
    }
}
