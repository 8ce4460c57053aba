import { ExecutionContext } from "ava";

/**
 * Replaces a method until the test ends.
 * @param t The test.
 * @param prototype Prototype that has the method or inherits it.
 * @param name Name of the method.
 * @param method What replaces it.
 * @throws Error if there is no such method: the replacement would have no effect.
 */
export function replaceMethod(t: ExecutionContext, prototype: object, name: string, method: unknown): void {
    const methods = prototype as Record<string, unknown>;
    const original = methods[name];
    if (typeof original !== "function") {
        throw new Error(`${prototype.constructor.name} has no method ${name}`);
    }
    methods[name] = method;
    t.teardown(() => (methods[name] = original));
}
