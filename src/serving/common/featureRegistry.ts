import { Feature } from "./feature";
import { InstanceServices } from "./instanceServices";

/** Makes a feature for an instance. */
export type FeatureFactory = (services: InstanceServices) => Feature;

/** The features of an instance. Each module adds its own when it is loaded. */
export class FeatureRegistry {
    private readonly factories: FeatureFactory[] = [];

    private constructor() {}

    /** The registry of this process. */
    static readonly instance = new FeatureRegistry();

    /** @param factory Makes the feature. */
    register(factory: FeatureFactory): void {
        this.factories.push(factory);
    }

    /** @returns One of each feature, in the order of registration. */
    createAll(services: InstanceServices): Feature[] {
        return this.factories.map(factory => factory(services));
    }
}
