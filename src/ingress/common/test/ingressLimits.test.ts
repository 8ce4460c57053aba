import test from "ava";
import { deriveIngressLimits, ingressSettingsSchema } from "../ingressLimits";

test("the limits follow the memory of the machine, and its descriptors where these are scarce", t => {
    const [large, small] = [350, 160].map(memoryMb => deriveIngressLimits({ memoryMb, descriptors: 4_100 }));
    t.true(large.connections > 2 * small.connections);
    t.true(small.connections >= 250);
    t.is(deriveIngressLimits({ memoryMb: 350, descriptors: 128 }).connections, 64);
});

test("a platform that leaves the limits empty gets those of a small machine", t => {
    t.deepEqual(deriveIngressLimits({ memoryMb: undefined }), deriveIngressLimits());
});

test("settings replace derived limits", t => {
    const limits = deriveIngressLimits({ memoryMb: 350 }, { connections: 10, bodyMb: 1, stallMs: 5 });
    t.is(limits.connections, 10);
    t.is(limits.bodyBytes, 1_048_576);
    t.is(limits.stallMs, 5);
});

for (const settings of [{ connections: 0 }, { connections: 1.5 }, { stallMs: -1 }, { other: 1 }]) {
    test(`the settings ${JSON.stringify(settings)} are invalid`, t => {
        t.false(ingressSettingsSchema.safeParse(settings).success);
    });
}
