/**
 * The scheduler as a library: the decision logic of an instance and the coordination components that it is built on.
 * @packageDocumentation
 */
export * from "./coordination/index";
export { Instance } from "./serving/common/instance";
export type { InstanceEffect, InstanceEvent } from "./serving/common/instanceEvents";
export { InterferenceModel } from "./scheduling/common/interferenceModel";
export { LearnedPlacement } from "./scheduling/common/learnedPlacement";
export { PlacementPolicy } from "./scheduling/common/placementPolicy";
export { Router } from "./routing/common/router";
export { UpstreamChoice } from "./routing/common/upstreamChoice";
