/** Queues the effects that decisions request, in order, until the loop performs them. */
export class Outbox<Effect> {
    private effects: Effect[] = [];

    private constructor() {}

    /** @returns An empty outbox. */
    static create<E>(): Outbox<E> {
        return new Outbox<E>();
    }

    /** @param effect The effect to perform. */
    emit(effect: Effect): void {
        this.effects.push(effect);
    }

    /** @returns All effects since the last call. */
    drain(): Effect[] {
        const drained = this.effects;
        this.effects = [];
        return drained;
    }
}
