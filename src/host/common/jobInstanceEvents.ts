import { DispatchEffect } from "../../dispatch/common/scheduler/dispatchEffects";
import { WorkerEvent } from "../../dispatch/common/workers/workerMessages";
import { JobAnswer, JobCall } from "../../jobs/common/jobCall";
import { RecordEvent } from "../../records/common/recordEvents";

/** Events that an instance handles. */
export type JobInstanceEvent =
    | RecordEvent
    | WorkerEvent
    | { readonly kind: "call"; readonly call: JobCall }
    /** `dueAt` is the monotonic time in ms at which it was due, if that is known. */
    | { readonly kind: "tick"; readonly dueAt?: number }
    | { readonly kind: "stop" };

/** Effects that an instance requests. */
export type JobInstanceEffect =
    | DispatchEffect
    | { readonly kind: "answer"; readonly call: JobCall; readonly answer: JobAnswer }
    | { readonly kind: "stopped" };
