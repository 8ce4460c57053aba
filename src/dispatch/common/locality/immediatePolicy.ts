import { PlacePolicy, PlaceReason } from "./placePolicy";

/** Starts tasks elsewhere as soon as their rack is full. */
export class ImmediatePolicy extends PlacePolicy {
    private constructor() {
        super();
    }

    /** @returns The policy. */
    static create(): ImmediatePolicy {
        return new ImmediatePolicy();
    }

    override review(): PlaceReason {
        return "costly";
    }
}
