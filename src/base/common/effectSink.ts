/** Accepts effects of some kinds. An outbox that accepts more kinds can be passed as a sink of fewer. */
export interface EffectSink<Effect> {
    /** @param effect The effect to perform. */
    emit(effect: Effect): void;
}
