/** What leaders last said about the jobs that wait. */
export class WaitReports {
    private readonly latest = new Map<string, string>();

    private constructor() {}

    /** @returns Reports of which there are none so far. */
    static create(): WaitReports {
        return new WaitReports();
    }

    /**
     * Records a decision if it is a report of a job that waits.
     * @param name Name of the decision.
     * @param data Its fields.
     * @param now Time in ms.
     */
    record(name: string, data: object, now: number): void {
        if (name === "job-waits" && "task" in data) {
            const [id] = String(data.task).split(".");
            this.latest.set(id, `at ${Math.round(now)} ms the leader said ${name} ${JSON.stringify(data)}`);
        }
    }

    /** @param id A job. @returns The latest report about it, on one line. */
    describe(id: string): string {
        return this.latest.get(id) ?? "the leader said nothing about its wait";
    }
}
