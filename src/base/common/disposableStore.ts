import { Disposable } from "./disposable";

/** Owns disposables and disposes them together, the latest first. */
export class DisposableStore implements Disposable {
    private readonly items: Disposable[] = [];
    private disposed = false;

    private constructor() {}

    /** @returns An empty store. */
    static create(): DisposableStore {
        return new DisposableStore();
    }

    /**
     * Takes ownership of a disposable; a store that is already disposed releases it at once.
     * @param item The disposable.
     * @returns The same disposable.
     */
    add<T extends Disposable>(item: T): T {
        if (this.disposed) {
            item.dispose();
        } else {
            this.items.push(item);
        }
        return item;
    }

    /** Disposes all that the store owns. */
    dispose(): void {
        this.disposed = true;
        while (this.items.length > 0) {
            this.items.pop()!.dispose();
        }
    }
}
