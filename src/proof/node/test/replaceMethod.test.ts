import test from "ava";
import { replaceMethod } from "./replaceMethod";

class Greeter {
    get name(): string {
        return "ada";
    }
    greet(): string {
        return "hello";
    }
}

test.serial("a method is replaced until the test ends", t => {
    replaceMethod(t, Greeter.prototype, "greet", () => "goodbye");
    t.is(new Greeter().greet(), "goodbye");
});

test.serial("the replaced method is back in the next test", t => {
    t.is(new Greeter().greet(), "hello");
});

test.serial("a replacement that would have no effect fails, since the class has no such method any more", t => {
    for (const name of ["great", "name"]) {
        t.throws(() => replaceMethod(t, Greeter.prototype, name, () => ""), {
            message: `Greeter has no method ${name}`,
        });
    }
});
