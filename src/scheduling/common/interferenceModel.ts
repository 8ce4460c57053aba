/** Step of the learning rule, as a share of the error. */
const LEARNING_RATE = 0.15;

/** Share of a learnt effect that is given back to the prior with each observation. */
const FORGETTING = 0.002;

/** Added to the squared load, so that faint loads teach little. */
const REGULARISATION = 0.5;

/** Slowdown (natural logarithm) expected of a pair that was never observed. */
const PRIOR_EFFECT = 0.02;

/** A class of work on a worker and how much of it there is. */
export interface ClassLoad {
    readonly name: string;
    /** Number of tasks, or of busy slots of a service. */
    readonly load: number;
}

/**
 * Learns how much each class of work slows down each other class on the same worker. The logarithm of a
 * slowdown is taken to be the sum of the effects of what ran beside it.
 */
export class InterferenceModel {
    private readonly effects = new Map<string, Map<string, number>>();
    private readonly aggressors = new Map<string, { sum: number; count: number }>();

    private constructor() {}

    /** @returns A model that has learnt nothing. */
    static create(): InterferenceModel {
        return new InterferenceModel();
    }

    /**
     * Learns from one measurement.
     * @param victim Class that was measured.
     * @param slowdown Its time over the time it takes alone.
     * @param beside What ran beside it at the time of the measurement.
     */
    observe(victim: string, slowdown: number, beside: readonly ClassLoad[]): void {
        if (beside.length === 0 || slowdown <= 0) {
            return;
        }
        const error = Math.log(slowdown) - this.sum(victim, beside);
        const norm = beside.reduce((total, each) => total + each.load * each.load, REGULARISATION);
        for (const { name, load } of beside) {
            const effect = this.effect(victim, name);
            const prior = this.prior(name);
            const next = effect + (LEARNING_RATE * error * load) / norm + FORGETTING * (prior - effect);
            this.store(victim, name, Math.max(0, next));
        }
    }

    /**
     * @param victim A class.
     * @param aggressor Another class.
     * @returns Logarithm of the slowdown that one unit of the aggressor causes to the victim.
     */
    effect(victim: string, aggressor: string): number {
        return this.effects.get(victim)?.get(aggressor) ?? this.prior(aggressor);
    }

    /**
     * @param victim A class.
     * @param beside What would run beside it.
     * @returns Logarithm of the expected slowdown of the victim.
     */
    sum(victim: string, beside: readonly ClassLoad[]): number {
        return beside.reduce((total, each) => total + each.load * this.effect(victim, each.name), 0);
    }

    /** A pair not seen yet is expected to be like the aggressor's other pairs. */
    private prior(aggressor: string): number {
        const known = this.aggressors.get(aggressor);
        return known === undefined ? PRIOR_EFFECT : (known.sum + PRIOR_EFFECT) / (known.count + 1);
    }

    private store(victim: string, aggressor: string, effect: number): void {
        const row = this.effects.get(victim) ?? new Map<string, number>();
        const known = this.aggressors.get(aggressor) ?? { sum: 0, count: 0 };
        known.sum += effect - (row.get(aggressor) ?? 0);
        known.count += row.has(aggressor) ? 0 : 1;
        row.set(aggressor, effect);
        this.effects.set(victim, row);
        this.aggressors.set(aggressor, known);
    }
}
