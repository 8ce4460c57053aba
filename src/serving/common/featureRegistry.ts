import { Feature } from "./feature";
import { InstanceServices } from "./instanceServices";

/** Creates a feature for an instance. */
export type FeatureFactory = (services: InstanceServices) => Feature;

/** Factories of the features. Each feature's module registers its own when it is loaded. */
export class FeatureRegistry {
    private readonly factories: FeatureFactory[] = [];

    private constructor() {}

    /** The registry of this process. */
    static readonly instance = new FeatureRegistry();

    /** @param factory Creates the feature. */
    register(factory: FeatureFactory): void {
        this.factories.push(factory);
    }

    /** @param services Shared by all features. @returns One of each feature, in the order of registration. */
    createAll(services: InstanceServices): Feature[] {
        return this.factories.map(factory => factory(services));
    }
}
