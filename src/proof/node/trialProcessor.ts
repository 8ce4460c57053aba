import { Agenda } from "../../base/common/agenda";
import { WorkMeter } from "../../base/common/workMeter";
import { classOfEvent, EVENT_CLASSES, EventClass } from "../../host/common/eventClass";
import { JobInstanceEffect, JobInstanceEvent } from "../../host/common/jobInstanceEvents";
import { WorkKind } from "../../host/common/workKind";
import { TrialCosts } from "./trialCosts";
import { TrialSchedule } from "./trialSchedule";

/** The instance whose work a processor does. */
export interface ProcessorHost {
    /** Number of jobs that are not finished. */
    readonly openJobs: () => number;
    /** Handles an event. */
    readonly dispatch: (event: JobInstanceEvent) => readonly JobInstanceEffect[];
    /** Called with the time in ms for which the event has waited that is handled next. */
    readonly onDelay: (waitedMs: number) => unknown;
    readonly perform: (effect: JobInstanceEffect) => unknown;
}

/**
 * The processor of one instance of a trial: its work takes time, and events that arrive meanwhile are handled later, the most
 * urgent first.
 */
export class TrialProcessor extends WorkMeter<WorkKind> {
    private readonly agenda: Agenda<JobInstanceEvent, EventClass>;
    private isTickWaiting = false;
    /** Time in ms of a whole core that the present event has taken so far. */
    private chargedMs = 0;
    /** Time in ms of a whole core that the latest pass took. */
    private passMs = 0;

    private constructor(
        private readonly costs: TrialCosts,
        private readonly schedule: TrialSchedule,
        private readonly host: ProcessorHost,
    ) {
        super();
        this.agenda = Agenda.create(EVENT_CLASSES, classOfEvent, () => this.schedule.add(0, () => this.beginTurn()));
    }

    /**
     * @param costs What work costs.
     * @param schedule Clock of the trial.
     * @param host The instance.
     * @returns An idle processor.
     */
    static create(costs: TrialCosts, schedule: TrialSchedule, host: ProcessorHost): TrialProcessor {
        return new TrialProcessor(costs, schedule, host);
    }

    override measure<T>(kind: WorkKind, work: () => T): T {
        if (kind === "pass") {
            this.passMs = this.host.openJobs() * this.costs.passMsPerJob;
            this.chargedMs += this.passMs;
        }
        return work();
    }

    override lastMs(kind: WorkKind): number {
        return kind === "pass" ? this.passMs / this.costs.share : 0;
    }

    /** Adds an event. */
    post(event: JobInstanceEvent): void {
        // As in the loop, there is no further tick while one waits.
        if (event.kind === "tick" && this.isTickWaiting) {
            return;
        }
        this.isTickWaiting ||= event.kind === "tick";
        this.agenda.add(event, this.schedule.now);
    }

    /** @returns Time that an effect takes, in ms of a whole core. */
    private costOf(effect: JobInstanceEffect): number {
        const { effectMs, startMs = 0, listMs = 0 } = this.costs;
        if (effect.kind === "task-started") {
            // An observation of a metric, which was part of the line of the order before.
            return 0;
        }
        return effectMs + (effect.kind === "start" ? startMs : effect.kind === "list" ? listMs : 0);
    }

    private beginTurn(): void {
        this.agenda.beginTurn(this.schedule.now);
        this.handleNext();
    }

    private handleNext(): void {
        const next = this.agenda.next(this.schedule.now);
        if (next === undefined) {
            return;
        }
        const { event, arrivedAt } = next;
        const { costs, host } = this;
        this.isTickWaiting &&= event.kind !== "tick";
        host.onDelay(this.schedule.now - arrivedAt);
        this.chargedMs = costs.eventMs + (classOfEvent(event) === "worker" ? (costs.answerMs ?? 0) : 0);
        const effects = host.dispatch(event);
        this.chargedMs += effects.reduce((sum, effect) => sum + this.costOf(effect), 0);
        this.schedule.add(this.chargedMs / costs.share, () => {
            effects.forEach(effect => host.perform(effect));
            this.handleNext();
        });
    }
}
