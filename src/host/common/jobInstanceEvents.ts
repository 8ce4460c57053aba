import { DispatchEffect } from "../../dispatch/common/dispatchEffects";
import { WorkerEvent } from "../../dispatch/common/workerMessages";
import { JobAnswer, JobCall } from "../../jobs/common/jobCall";
import { RecordEvent } from "../../records/common/recordEvents";

/** Events that an instance handles. */
export type JobInstanceEvent =
    | RecordEvent
    | WorkerEvent
    | { readonly kind: "call"; readonly call: JobCall }
    | { readonly kind: "tick" }
    | { readonly kind: "stop" };

/** Effects that an instance requests. */
export type JobInstanceEffect =
    | DispatchEffect
    | { readonly kind: "answer"; readonly call: JobCall; readonly answer: JobAnswer }
    | { readonly kind: "stopped" };
