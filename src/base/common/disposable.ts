/** Something that holds a resource until it is disposed. */
export interface Disposable {
    /** Releases the resource. Calling it again has no effect. */
    dispose(): void;
}

/**
 * Wraps a function as a disposable that runs it at most once.
 * @param release Releases the resource.
 * @returns The disposable.
 */
export function toDisposable(release: () => void): Disposable {
    let isDisposed = false;
    return {
        dispose(): void {
            if (!isDisposed) {
                isDisposed = true;
                release();
            }
        },
    };
}
