import { WorkerEffect } from "../workers/workerMessages";

/** Kinds of the requests that an instance sends: orders to workers, and appends to the store and reads of it. */
export type RequestKind = WorkerEffect["kind"] | "append" | "read";
