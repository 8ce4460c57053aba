/** Part of the prediction error that one observation corrects. */
const LEARNING_RATE = 0.15;

/** Part of the distance to the prior by which an effect decays at each observation. */
const PRIOR_DECAY_RATE = 0.002;

/** Added to the squared load, so that small loads change the effects little. */
const REGULARISATION = 0.5;

/** Effect (natural logarithm of the slowdown) of an aggressor that was never observed. */
const DEFAULT_EFFECT = 0.02;

/** A class of work on a worker, and its load. */
export interface ClassLoad {
    readonly name: string;
    /** Number of tasks, or of busy slots of a service. */
    readonly load: number;
}

/**
 * Estimates from reports how much each class of work (aggressor) slows down each other class (victim) on the same
 * worker. The logarithm of a slowdown is modelled as the sum of the effects of the colocated classes.
 */
export class InterferenceModel {
    private readonly effects = new Map<string, Map<string, number>>();
    private readonly aggressors = new Map<string, { effectSum: number; count: number }>();

    private constructor() {}

    /** @returns A model without observations. */
    static create(): InterferenceModel {
        return new InterferenceModel();
    }

    /**
     * Updates the effects from one measurement.
     * @param victim Class that was measured.
     * @param slowdown Its run time divided by its run time without colocated work.
     * @param colocated Loads on the same worker at the time of the measurement.
     */
    observe(victim: string, slowdown: number, colocated: readonly ClassLoad[]): void {
        if (colocated.length === 0 || slowdown <= 0) {
            return;
        }
        const error = Math.log(slowdown) - this.expectedLogSlowdown(victim, colocated);
        const norm = colocated.reduce((total, each) => total + each.load * each.load, REGULARISATION);
        for (const { name, load } of colocated) {
            const effect = this.effect(victim, name);
            const prior = this.prior(name);
            const next = effect + (LEARNING_RATE * error * load) / norm + PRIOR_DECAY_RATE * (prior - effect);
            this.setEffect(victim, name, Math.max(0, next));
        }
    }

    /**
     * @param victim A class.
     * @param aggressor Another class.
     * @returns Natural logarithm of the slowdown that one unit of the aggressor's load causes to the victim.
     */
    effect(victim: string, aggressor: string): number {
        return this.effects.get(victim)?.get(aggressor) ?? this.prior(aggressor);
    }

    /**
     * @param victim A class.
     * @param colocated Other loads on the same worker.
     * @returns Natural logarithm of the expected slowdown of the victim.
     */
    expectedLogSlowdown(victim: string, colocated: readonly ClassLoad[]): number {
        return colocated.reduce((total, each) => total + each.load * this.effect(victim, each.name), 0);
    }

    /** A pair without observations gets the mean effect of the aggressor's other pairs. */
    private prior(aggressor: string): number {
        const known = this.aggressors.get(aggressor);
        return known === undefined ? DEFAULT_EFFECT : (known.effectSum + DEFAULT_EFFECT) / (known.count + 1);
    }

    private setEffect(victim: string, aggressor: string, effect: number): void {
        const row = this.effects.get(victim) ?? new Map<string, number>();
        const known = this.aggressors.get(aggressor) ?? { effectSum: 0, count: 0 };
        known.effectSum += effect - (row.get(aggressor) ?? 0);
        known.count += row.has(aggressor) ? 0 : 1;
        row.set(aggressor, effect);
        this.effects.set(victim, row);
        this.aggressors.set(aggressor, known);
    }
}
