import { LeaseCall, WorkerError, WorkerReport } from "./worker";

/** Results of calls to workers; `call` is the number of the call. */
export type WorkerEvent =
    | {
          readonly kind: "worker-answered";
          readonly worker: string;
          readonly call: number;
          readonly report: WorkerReport;
      }
    | { readonly kind: "worker-failed"; readonly worker: string; readonly call: number; readonly error: WorkerError };

/** A call to a worker. */
export interface WorkerEffect {
    readonly kind: "worker-call";
    readonly worker: string;
    readonly address: string;
    readonly call: number;
    readonly lease: LeaseCall;
}
