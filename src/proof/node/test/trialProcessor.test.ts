import test from "ava";
import { JobInstanceEffect, JobInstanceEvent } from "../../../host/common/jobInstanceEvents";
import { TrialCosts } from "../trialCosts";
import { TrialProcessor } from "../trialProcessor";
import { TrialSchedule } from "../trialSchedule";

const COSTS: TrialCosts = { share: 0.5, eventMs: 1, effectMs: 2, passMsPerJob: 0, connections: 4 };
const TICK: JobInstanceEvent = { kind: "tick" };

/** Only the kinds of events and effects matter to a processor. */
const ANSWER = { kind: "list-answer" } as JobInstanceEvent;
const START = { kind: "start" } as JobInstanceEffect;
const LIST = { kind: "list" } as JobInstanceEffect;
const STOP = { kind: "stop" } as JobInstanceEffect;

/** @returns Times in ms at which the effects of an event are performed. */
function timesOfEffects(costs: TrialCosts, event: JobInstanceEvent, effects: readonly JobInstanceEffect[]): number[] {
    const schedule = TrialSchedule.create();
    const times: number[] = [];
    const processor = TrialProcessor.create(costs, schedule, {
        openJobs: () => 0,
        dispatch: () => effects,
        onDelay: () => undefined,
        perform: () => times.push(schedule.now),
    });
    processor.post(event);
    schedule.runUntil(1_000);
    return times;
}

test("an event takes its own time and that of its effects, divided by the share of a core", t => {
    t.deepEqual(timesOfEffects(COSTS, TICK, [STOP]), [6]);
    t.deepEqual(timesOfEffects(COSTS, ANSWER, [START, LIST]), [10, 10]);
});

test("starts, lists and answers of workers take further time", t => {
    const costs = { ...COSTS, startMs: 4, listMs: 8, answerMs: 16 };
    t.deepEqual(timesOfEffects(costs, TICK, [STOP]), [6]);
    t.deepEqual(timesOfEffects(costs, TICK, [START]), [14]);
    t.deepEqual(timesOfEffects(costs, TICK, [LIST]), [22]);
    t.deepEqual(timesOfEffects(costs, ANSWER, [STOP]), [38]);
});
