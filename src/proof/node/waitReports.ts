/** Decisions that say nothing about whether a job gets a run. */
const OTHER_DECISIONS: readonly string[] = ["run-throttled"];

/** What leaders last said about jobs: about their waits, and about their runs. */
export class WaitReports {
    private readonly waits = new Map<string, string>();
    private readonly runs = new Map<string, string>();

    private constructor() {}

    /** @returns Reports of which there are none so far. */
    static create(): WaitReports {
        return new WaitReports();
    }

    /**
     * Records a decision if it concerns a wait or a run of a job.
     * @param name Name of the decision.
     * @param data Its fields.
     * @param now Time in ms.
     */
    record(name: string, data: object, now: number): void {
        if ("task" in data && !OTHER_DECISIONS.includes(name)) {
            const [id] = String(data.task).split(".");
            const latest = name === "job-waits" ? this.waits : this.runs;
            latest.set(id, `at ${Math.round(now)} ms ${name} ${JSON.stringify(data)}`);
        }
    }

    /** @param id A job. @returns The latest decisions about its waits and its runs, on one line. */
    describe(id: string): string {
        const said = [this.waits.get(id), this.runs.get(id)].filter(each => each !== undefined);
        return said.length === 0 ? "the leader said nothing about it" : `the leader last said ${said.join(", ")}`;
    }
}
