import { JobInstanceEvent } from "./jobInstanceEvents";

/** Kinds of work of an instance: the events that it handles, passes over the waiting tasks, requests sent, and log lines. */
export type WorkKind = JobInstanceEvent["kind"] | "pass" | "send" | "log";
