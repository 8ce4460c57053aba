import { KeyedLog } from "../../standin/common/keyedLog";
import { EvacuationChecker } from "./evacuationChecker";
import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

/** Distinguishes the random sequence of the evacuations from that of the trial with the same seed, and from those of the next ones. */
const SEED_FACTOR = 32_452_843;

/** Failure domains of the workers of a trial. */
const DOMAINS = ["z0", "z1", "z2"];

/** Share of the evacuations that are of all domains. */
const ALL_RATIO = 0.25;

/** Bounds of the time from an evacuation to when the domain is taken back, in ms. */
const MIN_EVACUATION_MS = 3_000;
const MAX_EVACUATION_MS = 15_000;

/** Bounds of the time from an evacuation to the kill of the leader, in ms. */
const KILL_DELAY_MS = { min: -2_500, max: 3_000 };

/** Failure domains of a trial that are evacuated, and whether the leader is killed around the requests. */
export interface EvacuationPlan {
    /** Mean time between two requests, in ms. */
    readonly everyMs: number;
    /** Whether the leader is killed shortly before or after each request. */
    readonly killsLeaders: boolean;
    /** Time after a request from which no task starts in the domain, in ms; `EVACUATION_MS` if undefined. */
    readonly boundMs?: number;
}

/** What the evacuations of a trial concern. */
export interface EvacuationContext {
    readonly seed: number;
    readonly plan: EvacuationPlan;
    /** Time (ms) of the last request. */
    readonly untilMs: number;
    readonly schedule: TrialSchedule;
    readonly checker: EvacuationChecker;
    /** The stream of the operator. */
    readonly operator: KeyedLog;
    /** Lines of the trace. */
    readonly trace: string[];
    /** Kills the leader, if there is one. */
    readonly killLeader: () => void;
}

/** Evacuates failure domains of a trial and takes them back. It draws from its own sequence, as the cancellations do. */
export class TrialEvacuations {
    private readonly random: Random;
    /** Number of the latest evacuation of each domain that is evacuated. */
    private readonly evacuated = new Map<string, number>();
    private count = 0;

    private constructor(private readonly context: EvacuationContext) {
        this.random = Random.create(Math.imul(context.seed, SEED_FACTOR));
    }

    /** Starts to plan requests. @param context What they concern. @returns The evacuations. */
    static create(context: EvacuationContext): TrialEvacuations {
        const evacuations = new TrialEvacuations(context);
        evacuations.planNext();
        return evacuations;
    }

    private planNext(): void {
        const { plan, schedule, untilMs, killLeader } = this.context;
        const inMs = -KILL_DELAY_MS.min + this.random.between(1, 2 * (plan.everyMs + KILL_DELAY_MS.min));
        if (schedule.now + inMs > untilMs) {
            return;
        }
        const killDelayMs = this.random.between(KILL_DELAY_MS.min, KILL_DELAY_MS.max);
        if (plan.killsLeaders) {
            schedule.add(inMs + killDelayMs, killLeader);
        }
        schedule.add(inMs, () => {
            const chosen = this.random.chance(ALL_RATIO) ? DOMAINS : [this.random.pick(DOMAINS)];
            chosen.forEach(domain => this.evacuate(domain));
            this.planNext();
        });
    }

    private evacuate(domain: string): void {
        const { schedule, checker, operator, trace } = this.context;
        const lastsMs = this.random.between(MIN_EVACUATION_MS, MAX_EVACUATION_MS);
        if (!this.evacuated.has(domain)) {
            checker.recordRequest(domain);
            trace.push(`${Math.round(schedule.now)} FAULT evacuate ${domain} ${lastsMs}`);
        }
        this.count += 1;
        const number = this.count;
        this.evacuated.set(domain, number);
        operator.store(`evacuate/${domain}`, "{}");
        schedule.add(lastsMs, () => this.evacuated.get(domain) === number && this.takeBack(domain));
    }

    private takeBack(domain: string): void {
        const { schedule, checker, operator, trace } = this.context;
        trace.push(`${Math.round(schedule.now)} FAULT take-back ${domain}`);
        checker.recordEnd(domain, this.evacuated.size === DOMAINS.length);
        this.evacuated.delete(domain);
        operator.store(`evacuate/${domain}`, undefined);
    }
}
