import { WorkerEntry } from "../../dispatch/common/workerEntry";
import { OrderOutcome, WorkerEffect } from "../../dispatch/common/workerTraffic";
import { EntryDecoder } from "../../host/common/entryDecoder";
import { Configuration, Queue } from "../../jobs/common/queueTable";
import { StoredRecord } from "../../records/common/record";
import { LeasedWorker } from "../../standin/common/leasedWorker";
import type { JobTrial } from "./jobTrial";
import { Breach } from "./jobWitness";

/** The queue that all jobs of a trial are handed in to. */
export const QUEUE: Queue = {
    name: "q/",
    host: "host",
    prefix: "/q/",
    service: "svc",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    slackMs: 1_000,
    timeoutMs: 3_000,
};
/** The configuration of a trial. */
export const CONFIGURATION: Configuration = {
    version: 1,
    queues: [QUEUE],
    services: [{ name: "svc", rejectsOverload: true, isStandby: false }],
    maxBodyBytes: 100_000,
};
/** Limits of a trial. */
export const TERMS = { longestLeaseMs: 6_000, stopMs: 200, gangWaitMs: 3_000, harmMs: 4_000, retentionMs: 120_000 };

/** Kinds of faults that a trial injects, one at a time or several at once. */
export type JobFault =
    | "kill"
    | "kill-all"
    | "freeze"
    | "cut-store"
    | "store-down"
    | "lost-answers"
    | "worker-crash"
    | "worker-cut"
    | "late-orders"
    | "expire";

/** All kinds of faults. */
export const FAULTS: readonly JobFault[] = [
    "kill",
    "kill-all",
    "freeze",
    "cut-store",
    "store-down",
    "lost-answers",
    "worker-crash",
    "worker-cut",
    "late-orders",
    "expire",
];

/** What a trial does. */
export interface JobTrialPlan {
    readonly seed: number;
    /** How long jobs are handed in and faults injected, in ms. */
    readonly lengthMs: number;
    readonly instances: number;
    readonly workers: number;
    /** Mean time between faults, in ms; none if 0. */
    readonly faultEveryMs: number;
    /** Breaks something on purpose, to show that a rule notices. */
    readonly sabotage?: (trial: JobTrial) => void;
}

/** What came of a trial. */
export interface JobTrialResult {
    readonly breaches: readonly Breach[];
    readonly jobs: number;
    readonly accepted: number;
    readonly finished: number;
    readonly starts: number;
    readonly leaders: number;
    readonly log: readonly string[];
}

/** Reads the entries of a trial. */
export class TrialDecoder extends EntryDecoder {
    override configuration(): Configuration {
        return CONFIGURATION;
    }

    override worker(record: StoredRecord): WorkerEntry | undefined {
        return record.value === undefined ? undefined : (JSON.parse(record.value) as WorkerEntry);
    }
}

/** Carries out an order at a worker. @param now Time in ms. @returns How it took the order. */
export function carryOut(worker: LeasedWorker, effect: WorkerEffect, now: number): OrderOutcome {
    switch (effect.kind) {
        case "start":
            return worker.start(effect.order, now);
        case "stop":
            return worker.stop(effect.order, now);
        case "list":
            return worker.hold(effect.order, now);
        case "throttle":
            return "done";
    }
}
