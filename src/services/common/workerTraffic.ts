import { LeaseCall, WorkerError, WorkerReport } from "./worker";

/** What the loop learns from workers. `call` numbers the call that is answered. */
export type WorkerEvent =
    | {
          readonly kind: "worker-answered";
          readonly worker: string;
          readonly call: number;
          readonly report: WorkerReport;
      }
    | { readonly kind: "worker-failed"; readonly worker: string; readonly call: number; readonly error: WorkerError };

/** What decisions ask of workers. */
export interface WorkerEffect {
    readonly kind: "worker-call";
    readonly worker: string;
    readonly address: string;
    readonly call: number;
    readonly lease: LeaseCall;
}
