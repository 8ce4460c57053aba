import { DispatchEffect } from "../../dispatch/common/dispatchTraffic";
import { WorkerEvent } from "../../dispatch/common/workerTraffic";
import { JobAnswer, JobCall } from "../../jobs/common/jobCall";
import { RecordEvent } from "../../records/common/recordTraffic";

/** What happens to an instance. */
export type JobInstanceEvent =
    | RecordEvent
    | WorkerEvent
    | { readonly kind: "call"; readonly call: JobCall }
    | { readonly kind: "tick" }
    | { readonly kind: "stop" };

/** What an instance asks for. */
export type JobInstanceEffect =
    | DispatchEffect
    | { readonly kind: "answer"; readonly call: JobCall; readonly answer: JobAnswer }
    | { readonly kind: "stopped" };
