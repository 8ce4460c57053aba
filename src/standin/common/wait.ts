/** Time between two looks, in ms. */
const LOOK_INTERVAL_MS = 50;

/**
 * Waits until something holds.
 * @param look Tells whether it holds.
 * @param timeoutMs Time after which the wait fails, in ms.
 * @param what Says what was awaited, for the error.
 * @throws Error when it does not hold in time.
 */
export async function waitUntil(
    look: () => boolean | Promise<boolean>,
    timeoutMs: number,
    what: string,
): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (!(await look())) {
        if (performance.now() > until) {
            throw new Error(`waited ${timeoutMs} ms in vain for ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, LOOK_INTERVAL_MS));
    }
}
