import { Disposable, toDisposable } from "./disposable";

/** Subscribes a listener and returns its subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of a typed event. */
export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    private constructor() {}

    /** @returns An emitter without listeners. */
    static create<T>(): Emitter<T> {
        return new Emitter<T>();
    }

    /** The event that listeners subscribe to. */
    readonly event: Event<T> = listener => {
        this.listeners.add(listener);
        return toDisposable(() => this.listeners.delete(listener));
    };

    /**
     * Delivers a value to every listener, in the order of subscription.
     * @param value The value.
     */
    fire(value: T): void {
        for (const listener of [...this.listeners]) {
            listener(value);
        }
    }

    /** Removes all listeners. */
    dispose(): void {
        this.listeners.clear();
    }
}
