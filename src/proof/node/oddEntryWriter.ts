import { WorkerEntry } from "../../dispatch/common/workers/workerEntry";
import { KeyedLog } from "../../standin/common/keyedLog";
import { encodePlatformEntry, JobTrialPlan } from "./jobTrialPlan";
import { Random } from "./random";
import { TrialSchedule } from "./trialSchedule";

const NESTED = `${"[".repeat(10_000)}${"]".repeat(10_000)}`;

/** Values that are no entries. */
const ODD_VALUES: readonly string[] = ["", "{", "null", "7", "[]", "{}", "\ufffd", NESTED];

/** Fields, as JSON, that make an entry odd. */
const ODD_FIELDS: readonly string[] = [
    '"addr":"w0:99999"',
    '"addr":"w0"',
    '"addr":7',
    '"born":1e308',
    '"born":9007199254740993',
    '"born":90000000000000',
    '"capacity":{"cpu":1e308,"memMb":1e308}',
    `"capacity":${NESTED}`,
    '"state":"gone"',
    '"state":"draining","drainRemainingMs":1e308',
    '"service":"unknown"',
    '"labels":{"a":1}',
];

/** What the writer shares with the rest of the trial. */
export interface OddEntryContext {
    readonly plan: JobTrialPlan;
    readonly schedule: TrialSchedule;
    /** The stream of service discovery. */
    readonly registry: KeyedLog;
    /** Lines of the trace. */
    readonly trace: string[];
}

/** Another writer in service discovery, which stores odd entries under ids of workers and of its own. */
export class OddEntryWriter {
    /** Draws of its own, which leave the other draws of a seed as they are. */
    private readonly random: Random;

    private constructor(
        private readonly context: OddEntryContext,
        private readonly everyMs: number,
        private readonly entries: () => readonly WorkerEntry[],
    ) {
        this.random = Random.create(context.plan.seed);
    }

    /**
     * Starts to write.
     * @param context What it shares with the rest of the trial.
     * @param everyMs Mean time between two entries, in ms.
     * @param entries Returns the entries of the workers.
     * @returns The writer.
     */
    static create(context: OddEntryContext, everyMs: number, entries: () => readonly WorkerEntry[]): OddEntryWriter {
        const writer = new OddEntryWriter(context, everyMs, entries);
        writer.planNext();
        return writer;
    }

    private planNext(): void {
        const { schedule, plan } = this.context;
        if (schedule.now <= plan.lengthMs) {
            schedule.add(this.random.between(1, 2 * this.everyMs), () => {
                this.writeOne();
                this.planNext();
            });
        }
    }

    private writeOne(): void {
        const { registry, trace, schedule } = this.context;
        const entry = this.random.pick(this.entries());
        const id = this.random.chance(0.5) ? entry.id : `odd-${this.random.between(0, 9)}`;
        // Of a field that is there twice, the last one counts.
        const withField = `${encodePlatformEntry(entry).slice(0, -1)},${this.random.pick(ODD_FIELDS)}}`;
        const value = this.random.chance(0.5) ? withField : this.random.pick(ODD_VALUES);
        trace.push(`${Math.round(schedule.now)} FAULT odd-entry ${id} ${value.slice(-60)}`);
        registry.store(id, value);
    }
}
