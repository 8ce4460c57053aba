import { ExecutionContext } from "ava";
import { ActiveJob } from "../../../dispatch/common/jobs/activeJob";
import { StepQueue } from "../../../dispatch/common/waits/stepQueue";
import { JobInstanceEffect, JobInstanceEvent } from "../../../host/common/jobInstanceEvents";
import { replaceMethod } from "./replaceMethod";

/** Time that work takes an instance with a quarter of a core, in ms. */
const COST_MS = { event: 0.5, record: 0.2, workerAnswer: 4, effect: 1, restoredJob: 1.2, pass: 80 };

/** Counts the work of instances that dispatch events, one after the other, and tells how long it takes. */
export class WorkMeter {
    private workMs = 0;

    /** @param t The test, until the end of which jobs and passes are counted. */
    constructor(t: ExecutionContext) {
        this.countCalls(t, ActiveJob, "create", COST_MS.restoredJob);
        this.countCalls(t, StepQueue.prototype, "placeWaiting", COST_MS.pass);
    }

    /** @returns Time that the dispatch of an event took, in ms, since the latest call. */
    take(event: JobInstanceEvent, effects: readonly JobInstanceEffect[]): number {
        const { workMs } = this;
        this.workMs = 0;
        const orders = effects.filter(effect => effect.kind !== "answer").length;
        return workMs + COST_MS.event + orders * COST_MS.effect + costOfAnswer(event);
    }

    private countCalls(t: ExecutionContext, owner: object, name: string, costMs: number): void {
        const original = (owner as Record<string, (...args: unknown[]) => unknown>)[name];
        const addWork = () => (this.workMs += costMs);
        replaceMethod(t, owner, name, function (this: unknown, ...args: unknown[]) {
            addWork();
            return original.apply(this, args);
        });
    }
}

function costOfAnswer(event: JobInstanceEvent): number {
    switch (event.kind) {
        case "read-answer":
        case "newest-answer":
            return event.result.ok ? event.result.val.records.length * COST_MS.record : 0;
        case "list-answer":
        case "start-answer":
            return COST_MS.workerAnswer;
        default:
            return 0;
    }
}
