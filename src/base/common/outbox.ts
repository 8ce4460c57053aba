/** Collects the effects that decisions ask for, in order, until the loop hands them to the performers. */
export class Outbox<Effect> {
    private effects: Effect[] = [];

    private constructor() {}

    /** @returns An empty outbox. */
    static create<E>(): Outbox<E> {
        return new Outbox<E>();
    }

    /** @param effect What is to be performed. */
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
