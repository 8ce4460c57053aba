import { Disposable } from "./disposable";

/** Owns disposables and disposes them together, in reverse order of their addition. */
export class DisposableStore implements Disposable {
    private readonly items: Disposable[] = [];
    private isDisposed = false;

    private constructor() {}

    /** @returns An empty store. */
    static create(): DisposableStore {
        return new DisposableStore();
    }

    /**
     * Takes ownership of a disposable; a store that is already disposed disposes it immediately.
     * @param item The disposable.
     * @returns The same disposable.
     */
    add<T extends Disposable>(item: T): T {
        if (this.isDisposed) {
            item.dispose();
        } else {
            this.items.push(item);
        }
        return item;
    }

    /** Disposes everything that the store owns. */
    dispose(): void {
        this.isDisposed = true;
        while (this.items.length > 0) {
            this.items.pop()!.dispose();
        }
    }
}
