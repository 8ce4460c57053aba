import test from "ava";
import { Loop } from "../loop";

test("an error in an event or an effect is reported, and later events are handled", t => {
    const errors: string[] = [];
    const performed: string[] = [];
    const loop = Loop.create<string, string>(
        event => {
            if (event === "bad event") {
                throw new Error(event);
            }
            return event === "both" ? ["bad effect", "good effect"] : [event];
        },
        effect => {
            if (effect === "bad effect") {
                throw new Error(effect);
            }
            performed.push(effect);
        },
        error => errors.push((error as Error).message),
    );
    ["bad event", "both", "last"].forEach(event => loop.post(event));
    t.deepEqual(errors, ["bad event", "bad effect"]);
    t.deepEqual(performed, ["good effect", "last"]);
    loop.dispose();
});
