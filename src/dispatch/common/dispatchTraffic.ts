import { RecordEffect } from "../../records/common/recordTraffic";
import { WorkerEffect } from "./workerTraffic";

/** What a decision rests on, for the log of decisions. */
export type DecisionData = Readonly<Record<string, string | number | boolean | undefined>>;

/** What a logged decision is about. */
export type DecisionName =
    | "leader-began"
    | "leader-ended"
    | "run-started"
    | "run-ended"
    | "run-stopping"
    | "run-throttled"
    | "order-failed"
    | "worker-silent"
    | "worker-back"
    | "worker-vacant"
    | "worker-replaced"
    | "worker-excluded"
    | "worker-draining"
    | "job-ended"
    | "job-waits"
    | "suspended"
    | "config-applied";

/** A line for the log of decisions. */
export interface DecisionEffect {
    readonly kind: "decision";
    readonly name: DecisionName;
    readonly data: DecisionData;
}

/** What scheduling asks for. */
export type DispatchEffect = RecordEffect | WorkerEffect | DecisionEffect;
