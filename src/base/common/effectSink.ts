/** Takes effects of some kinds. An outbox of more kinds is a sink of fewer. */
export interface EffectSink<Effect> {
    /** @param effect What is to be performed. */
    emit(effect: Effect): void;
}
