/** Time between two checks, in ms. */
const POLL_INTERVAL_MS = 50;

/**
 * Waits until a condition holds.
 * @param condition Returns whether to stop waiting.
 * @param timeoutMs Time after which the wait fails, in ms.
 * @param description What is awaited, for the error message.
 * @throws Error when the condition does not hold in time.
 */
export async function waitUntil(
    condition: () => boolean | Promise<boolean>,
    timeoutMs: number,
    description: string,
): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!(await condition())) {
        if (performance.now() > deadline) {
            throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
