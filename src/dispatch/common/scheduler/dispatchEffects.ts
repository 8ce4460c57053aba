import { PlaceOutcome } from "../locality/placeReporter";
import { RecordWriterEffect } from "../../../records/common/recordEvents";
import { WorkerEffect } from "../workers/workerMessages";

/** Data of a decision, for the decision log. */
export type DecisionData = Readonly<Record<string, string | number | boolean | undefined>>;

/** Name of a decision in the decision log. */
export type DecisionName =
    | "leader-claimed"
    | "claim-lost"
    | "leader-deposed"
    | "outage-right"
    | "former-unraised"
    | "leader-began"
    | "leader-ended"
    | "handover-began"
    | "successor-named"
    | "successor-warm"
    | "handover-ended"
    | "handover-abandoned"
    | "fleet-divided"
    | "shard-load"
    | "job-transferred"
    | "job-adopted"
    | "task-transferred"
    | "task-adopted"
    | "task-stays"
    | "leader-late"
    | "leader-on-time"
    | "run-started"
    | "start-withheld"
    | "capacity-unknown"
    | "run-ended"
    | "run-stopping"
    | "run-throttled"
    | "order-failed"
    | "worker-silent"
    | "worker-back"
    | "worker-vacant"
    | "worker-replaced"
    | "worker-lost"
    | "task-suspected"
    | "task-cleared"
    | "workers-cut"
    | "loss-explained"
    | "worker-excluded"
    | "worker-draining"
    | "workers-left-out"
    | "job-ended"
    | "job-waits"
    | "jobs-idle"
    | "lasting-tasks-wait"
    | "rack-placements"
    | "suspended"
    | "view-old"
    | "view-recent"
    | "record-malformed"
    | "config-applied"
    | "config-old"
    | "config-recent"
    | "stop-out-of-time"
    | "instance-unready"
    | "instance-ready"
    | "domain-evacuated"
    | "domain-restored";

/** A line for the decision log. */
export interface DecisionEffect {
    readonly kind: "decision";
    readonly name: DecisionName;
    readonly data: DecisionData;
}

/** A start that a worker has carried out, for the metrics. */
export interface TaskStartedEffect {
    readonly kind: "task-started";
    /** Time since the job was accepted, in ms, or `undefined` if the task ran before or depends on other steps. */
    readonly waitedMs: number | undefined;
    /** Where it has started, or `undefined` if that does not matter. */
    readonly place: PlaceOutcome | undefined;
}

/** Effects of the scheduler. */
export type DispatchEffect = RecordWriterEffect | WorkerEffect | DecisionEffect | TaskStartedEffect;
