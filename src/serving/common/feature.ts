import { InstanceEvent } from "./instanceTraffic";

/** A part of an instance that takes in events. */
export abstract class Feature {
    /** Takes in an event. @param event The event. @param now Time in ms. */
    abstract handle(event: InstanceEvent, now: number): void;

    /** Acts on the passing of time. @param now Time in ms. @param wallNow Time in ms since the Unix epoch. */
    abstract tick(now: number, wallNow: number): void;

    /** Whether the feature holds nothing that would keep the instance from ending. */
    get isIdle(): boolean {
        return true;
    }
}
