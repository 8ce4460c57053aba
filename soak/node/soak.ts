import { createWriteStream, mkdirSync, rmSync, WriteStream } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../../src/proof/node/random";
import { BOUNDS, LASTING_GRACE_MS, MAX_IDLE_MS } from "../common/bounds";
import { FaultPlan, PlanName, SiteSize } from "../common/faultPlan";
import { FaultKind, PlannedFault } from "../common/plannedFault";
import { RuleViolation } from "../common/ruleChecker";
import { SiteChecker } from "../common/siteChecker";
import { createSeededRandom } from "../common/seededRandom";
import { SoakObservation } from "../common/soakEvent";
import { FaultInjector } from "./faultInjector";
import { SoakSite } from "./soakSite";
import { batchTrafficFor, planTasks, SoakTraffic } from "./soakTraffic";

const TICK_MS = 100;

/** From this delay of its own loop on, the soak itself disrupts the store and the workers, in ms. */
const OWN_DELAY_MS = 500;

/** Time from the start of the traffic to the first fault, in ms. */
const WARM_UP_MS = 6_000;

/** Time after a round in which each violation of a bound would show, in ms. */
const SETTLE_MS = BOUNDS.stableWindowMs + LASTING_GRACE_MS + MAX_IDLE_MS + 1_000;

/** Time after the end of the traffic in which jobs finish, and are checked, in ms. */
const FINISH_MS = BOUNDS.finish_s * 1_000 + BOUNDS.stableWindowMs + MAX_IDLE_MS;

/** Folder of the logs of the entries and the workers, in that of the run. */
const LOG_FOLDER = "logs";

/** What the workers' log says, since the entries know of a run only what they are told. */
const WORKER_EVENTS: ReadonlySet<SoakObservation["kind"]> = new Set<SoakObservation["kind"]>([
    "worker-began",
    "worker-ended",
    "run-started",
    "run-ended",
    "lease-lapsed",
]);

/** What the random numbers of a run are for. */
const RANDOM_PURPOSES = { faults: 0, site: 1, traffic: 2, deadlyTasks: 3 } as const;

/** Bounds of the time for which a worker is down that a task has crashed, in ms. */
const DEADLY_CRASH_LASTS_MS = [1_000, 5_000] as const;

/** What a soak runs. */
export interface SoakOptions extends SiteSize {
    readonly seed: number;
    readonly mode: PlanName;
    readonly rounds: number;
    /** Share of a core that each entry gets, in percent; 100 for no limit. */
    readonly dutyPercent: number;
    /** Share of the jobs with a task that crashes each worker that starts it, in percent; none if undefined. */
    readonly deadlyPercent?: number;
    /** Folder of the record and the logs. */
    readonly folder: string;
}

/** What a soak has shown. */
export interface SoakResult {
    readonly violations: readonly RuleViolation[];
    /** Longest time of a task that lasts without a run, by round, in ms. */
    readonly longestGapsMs: readonly number[];
    readonly jobs: number;
    readonly starts: number;
}

/** One run: a site, traffic, rounds of faults, and the check of the rules. */
export class Soak {
    private readonly checker = SiteChecker.create();
    private readonly output: WriteStream;
    private readonly workerLog: WriteStream;
    private readonly violations: RuleViolation[] = [];
    private readonly startedAt = performance.now();
    private starts = 0;
    private site: SoakSite | undefined;
    private injector: FaultInjector | undefined;
    private readonly deadlyRandom: Random;
    private expectedTickAt = Number.POSITIVE_INFINITY;

    private constructor(private readonly options: SoakOptions) {
        rmSync(options.folder, { recursive: true, force: true });
        mkdirSync(options.folder, { recursive: true });
        this.deadlyRandom = createSeededRandom(options.seed, RANDOM_PURPOSES.deadlyTasks);
        this.output = createWriteStream(join(options.folder, "record.jsonl"));
        mkdirSync(join(options.folder, LOG_FOLDER));
        this.workerLog = createWriteStream(join(options.folder, LOG_FOLDER, "workers.log"));
    }

    /** @param options What to run. @returns What it has shown. The record is in the folder, the logs only after violations or long gaps. */
    static async run(options: SoakOptions): Promise<SoakResult> {
        return new Soak(options).run();
    }

    private async run(): Promise<SoakResult> {
        const { seed, mode, rounds, dutyPercent, deadlyPercent = 0, folder } = this.options;
        this.record("soak", { ...this.options });
        const jobs = this.checker.state.jobs;
        const batches = batchTrafficFor(mode);
        const planTask = planTasks(batches, seed, jobs, deadlyPercent / 100);
        const site = await SoakSite.start({
            size: this.options,
            folder: join(folder, LOG_FOLDER),
            random: createSeededRandom(seed, RANDOM_PURPOSES.site),
            jobs,
            planTask,
            crashWorker: worker => this.crashWorker(worker),
            observe: this.observe,
        });
        this.site = site;
        const injector = FaultInjector.create(site, this.observe, this.record);
        this.injector = injector;
        const addresses = site.callerLinks.map(each => each.address);
        const traffic = SoakTraffic.create(
            batches,
            this.options.workers,
            createSeededRandom(seed, RANDOM_PURPOSES.traffic),
            addresses,
            this.observe,
        );
        const timer = setInterval(() => this.tick(), TICK_MS);
        const gaps: number[] = [];
        try {
            if (dutyPercent < 100) {
                site.entries.forEach(each => each.limitDuty(dutyPercent / 100));
            }
            await traffic.start();
            await delay(WARM_UP_MS);
            const random = createSeededRandom(seed, RANDOM_PURPOSES.faults);
            for (let round = 1; round <= rounds; round++) {
                gaps.push(await this.playRound(round, FaultPlan.round(mode, random, this.options), injector));
            }
            await this.finish(traffic);
        } finally {
            clearInterval(timer);
            traffic.dispose();
            await site.dispose();
        }
        return this.conclude(gaps);
    }

    /** Crashes a worker, as a task has done. It returns as after other faults, under its ID or a new one. */
    private crashWorker(worker: number): void {
        const random = this.deadlyRandom;
        void this.injector!.injectNow({
            kind: random.pick<FaultKind>(["worker-restarts", "worker-replaced"]),
            atMs: 0,
            lastsMs: random.between(...DEADLY_CRASH_LASTS_MS),
            targets: [worker],
            isSilent: random.chance(0.5),
        });
    }

    private async playRound(round: number, faults: readonly PlannedFault[], injector: FaultInjector): Promise<number> {
        this.record("round", { round, faults });
        this.checker.lastingRuns.takeLongestGapMs();
        await injector.play(faults);
        await delay(SETTLE_MS);
        const longestGapMs = this.checker.lastingRuns.takeLongestGapMs();
        const usedRatio = Number(this.checker.state.usedRatio.toFixed(2));
        this.record("round-ended", { round, longestGapMs, idle: this.checker.lastingRuns.idle, usedRatio });
        return longestGapMs;
    }

    private async finish(traffic: SoakTraffic): Promise<void> {
        await traffic.stop();
        this.observe({ kind: "traffic-ended" });
        await delay(FINISH_MS);
        const { accepted, cancelled } = this.checker.state;
        await traffic.readAll([...accepted].filter(id => !cancelled.has(id)));
    }

    private async conclude(longestGapsMs: readonly number[]): Promise<SoakResult> {
        const { violations, starts } = this;
        const result = { violations, longestGapsMs, jobs: this.checker.state.accepted.size, starts };
        this.record("result", { violations: violations.length, longestGapsMs, jobs: result.jobs, starts });
        await Promise.all([this.output, this.workerLog].map(each => new Promise<void>(resolve => each.end(resolve))));
        const isLongGap = longestGapsMs.some(each => each > LASTING_GRACE_MS + MAX_IDLE_MS);
        if (violations.length === 0 && !isLongGap) {
            rmSync(join(this.options.folder, LOG_FOLDER), { recursive: true, force: true });
        }
        return result;
    }

    private readonly observe = (observation: SoakObservation): void => {
        this.starts += observation.kind === "run-started" ? 1 : 0;
        const violations = this.checker.observe({ ...observation, atMs: this.elapsedMs });
        for (const violation of violations) {
            this.violations.push(violation);
            this.record("violation", { ...violation, away: this.site?.away });
        }
        if (observation.kind === "process-ended") {
            this.record("process-ended", { node: observation.node, detail: observation.detail });
        } else if (observation.kind === "log-line") {
            this.readLogLine(observation.node, observation.text);
        } else if (WORKER_EVENTS.has(observation.kind)) {
            this.write(this.workerLog, observation);
        }
    };

    private readonly record = (what: string, fields: object): void => this.write(this.output, { what, ...fields });

    private write(output: WriteStream, fields: object): void {
        const line = { time: new Date().toISOString(), atMs: Math.round(this.elapsedMs), ...fields };
        output.write(`${JSON.stringify(line)}\n`);
    }

    private get elapsedMs(): number {
        return performance.now() - this.startedAt;
    }

    private tick(): void {
        const now = this.elapsedMs;
        const delayMs = now - this.expectedTickAt;
        this.expectedTickAt = now + TICK_MS;
        if (delayMs > OWN_DELAY_MS) {
            this.record("soak-delayed", { delayMs: Math.round(delayMs) });
            this.observe({ kind: "disruption-began", name: "soak-delayed" });
            this.observe({ kind: "disruption-ended", name: "soak-delayed" });
        }
        this.observe({ kind: "tick" });
    }

    private readLogLine(node: string, text: string): void {
        if (!text.includes('"event":"leader-began"')) {
            return;
        }
        const { instance, epoch, shard } = JSON.parse(text) as { instance: string; epoch: number; shard?: number };
        this.site?.recordLeader(node);
        this.record("leader-began", { instance, epoch, shard });
        this.observe({ kind: "leader-began", instance, epoch: `${shard ?? ""}/${epoch}` });
    }
}
