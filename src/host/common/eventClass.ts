import { JobInstanceEvent } from "./jobInstanceEvents";

/**
 * Urgency of the events of an instance, the most urgent first: the renewal of its records; what was submitted and cancelled, by
 * callers or in the streams; answers of workers, which keep their order, since each states what the worker runs.
 */
export const EVENT_CLASSES = ["renewal", "input", "worker"] as const;

/** Urgency of an event. */
export type EventClass = (typeof EVENT_CLASSES)[number];

const CLASS_BY_KIND: Readonly<Record<JobInstanceEvent["kind"], EventClass>> = {
    tick: "renewal",
    "append-answer": "renewal",
    "read-answer": "input",
    "newest-answer": "input",
    call: "input",
    stop: "input",
    "list-answer": "worker",
    "start-answer": "worker",
    "stop-answer": "worker",
    "throttle-answer": "worker",
};

/** @param event An event of an instance. @returns Its urgency. */
export function classOfEvent(event: JobInstanceEvent): EventClass {
    return CLASS_BY_KIND[event.kind];
}
