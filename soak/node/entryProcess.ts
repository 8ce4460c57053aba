import { ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readFileSync, WriteStream } from "node:fs";
import { ChartLoader } from "../../src/base/common/chartLoader";
import { ChartRegistry } from "../../src/base/common/chartRegistry";
import { Machine } from "../../src/base/common/machine";
import { BOUNDS } from "../common/bounds";
import { SoakObservation } from "../common/soakEvent";
import chartText from "./entryProcess.chart.yaml";

type EntryState = "down" | "running" | "paused" | "stopping" | "ending";
type EntryEvent = "start" | "pause" | "resume" | "terminate" | "kill" | "exited";
type EntryAction = "spawn" | "sendPause" | "sendResume" | "sendTerminate" | "sendKill" | "reportOwnEnd" | "reportEnd";

const chart = ChartRegistry.instance.register(
    ChartLoader.load<EntryState, EntryEvent, never, EntryAction>(chartText, "entryProcess.chart.yaml", {
        states: ["down", "running", "paused", "stopping", "ending"],
        events: ["start", "pause", "resume", "terminate", "kill", "exited"],
        guards: [],
        actions: ["spawn", "sendPause", "sendResume", "sendTerminate", "sendKill", "reportOwnEnd", "reportEnd"],
    }),
);

/** How a fault ends a process, or pauses it. */
export type HoldKind = "kill" | "pause" | "terminate";

/** Length of a period of the duty cycle, in ms. */
const DUTY_PERIOD_MS = 100;

/** Time until a process that has ended by itself is started again, in ms. */
const RESTART_DELAY_MS = 500;

const DEPLOYMENT_FILE = "deploy/system.toml";

/** Processes that have not ended; they are killed when the soak itself ends. */
const children = new Set<ChildProcess>();
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));

/** Host and port at which an entry takes calls, says whether it is ready, and shows its metrics. */
export interface EntryAddresses {
    readonly front: string;
    readonly ready: string;
    readonly metrics: string;
}

/** Process of one entry: the built program, with the command of the deployment file. */
export class EntryProcess {
    private readonly machine: Machine<string, EntryState, EntryEvent, never, EntryAction>;
    private readonly log: WriteStream;
    /** Number of faults that keep the process down, and that keep it paused. */
    private downHolds = 0;
    private pauseHolds = 0;
    private child: ChildProcess | undefined;
    private dutyTimer: NodeJS.Timeout | undefined;
    private logTail = "";
    starts = 0;

    private constructor(
        readonly node: string,
        readonly addresses: EntryAddresses,
        private readonly settingsFile: string,
        logFile: string,
        private readonly observe: (observation: SoakObservation) => void,
    ) {
        this.log = createWriteStream(logFile, { flags: "a" });
        this.machine = Machine.create(chart, {
            guards: {},
            actions: {
                spawn: () => this.spawn(),
                sendPause: () => this.child?.kill("SIGSTOP"),
                sendResume: () => this.child?.kill("SIGCONT"),
                sendTerminate: () => this.sendTerminate(),
                sendKill: () => this.child?.kill("SIGKILL"),
                reportOwnEnd: detail => this.reportEnd(detail, false),
                reportEnd: detail => this.reportEnd(detail, true),
            },
        });
    }

    /** @param fields Name, addresses, files and the observer. @returns An entry whose process is not started yet. */
    static create(fields: {
        readonly node: string;
        readonly addresses: EntryAddresses;
        readonly settingsFile: string;
        readonly logFile: string;
        readonly observe: (observation: SoakObservation) => void;
    }): EntryProcess {
        const { node, addresses, settingsFile, logFile, observe } = fields;
        return new EntryProcess(node, addresses, settingsFile, logFile, observe);
    }

    get state(): EntryState {
        return this.machine.state;
    }

    /** ID of the latest process. */
    get pid(): number | undefined {
        return this.child?.pid;
    }

    start(): void {
        this.machine.fire("start", "");
    }

    /** Begins a fault: ends or pauses the process, until as many calls of `release`. */
    hold(kind: HoldKind): void {
        if (kind === "pause") {
            this.pauseHolds += 1;
        } else {
            this.downHolds += 1;
        }
        this.machine.fire(kind, "");
    }

    /** Ends a fault. */
    release(kind: HoldKind): void {
        if (kind === "pause") {
            this.pauseHolds -= 1;
        } else {
            this.downHolds -= 1;
        }
        this.update();
    }

    /** Lets the process run only for a share of each period. @param share Share, 0 to 1. */
    limitDuty(share: number): void {
        const pause = () => this.machine.state === "running" && this.child?.kill("SIGSTOP");
        this.dutyTimer = setInterval(() => {
            if (this.machine.state === "running") {
                this.child?.kill("SIGCONT");
                setTimeout(pause, share * DUTY_PERIOD_MS);
            }
        }, DUTY_PERIOD_MS);
    }

    /** Kills the process and does not start it again. @returns When it has ended and its log is written. */
    async dispose(): Promise<void> {
        clearInterval(this.dutyTimer);
        this.downHolds = Number.POSITIVE_INFINITY;
        this.machine.fire("kill", "");
        const { child } = this;
        if (child !== undefined && this.machine.state !== "down") {
            await new Promise(resolve => child.once("close", resolve));
        }
        await new Promise<void>(resolve => this.log.end(() => resolve()));
    }

    private update(): void {
        if (this.downHolds === 0) {
            this.machine.fire("start", "");
        }
        if (this.pauseHolds === 0) {
            this.machine.fire("resume", "");
        }
    }

    private spawn(): void {
        const command = /^run = "([^"]+)"/m.exec(readFileSync(DEPLOYMENT_FILE, "utf8"))![1];
        const [program, ...words] = command.split(" ");
        const env = { PATH: process.env.PATH, HOME: process.env.HOME, WIGEONSTALL_BOOT: this.settingsFile };
        const child = spawn(program, words, { env, stdio: ["ignore", "pipe", "pipe"] });
        this.child = child;
        children.add(child);
        child.once("close", () => children.delete(child));
        this.starts += 1;
        this.logTail = "";
        child.stdout.on("data", (chunk: Buffer) => this.read(chunk));
        child.stderr.on("data", (chunk: Buffer) => this.read(chunk));
        child.on("error", error => this.machine.fire("exited", error.message));
        // Emitted after the process has ended and all its output is read.
        child.on("close", (code, signal) => this.machine.fire("exited", `code ${code}, signal ${signal}`));
        if (this.pauseHolds > 0) {
            this.machine.fire("pause", "");
        }
    }

    private sendTerminate(): void {
        const { child } = this;
        child?.kill("SIGTERM");
        // A process that is paused would handle the signal only later.
        child?.kill("SIGCONT");
        setTimeout(() => child === this.child && this.machine.fire("kill", ""), BOUNDS.graceS * 1_000);
    }

    private reportEnd(detail: string, isExpected: boolean): void {
        // The last line of a killed process may be cut short.
        if (this.logTail !== "" && !isExpected) {
            this.observe({ kind: "log-line", node: this.node, text: this.logTail });
        }
        this.observe({ kind: "process-ended", node: this.node, detail, isExpected });
        setTimeout(() => this.update(), isExpected ? 0 : RESTART_DELAY_MS);
    }

    private read(chunk: Buffer): void {
        this.log.write(chunk);
        const lines = (this.logTail + chunk.toString("utf8")).split("\n");
        this.logTail = lines.pop()!;
        for (const text of lines) {
            this.observe({ kind: "log-line", node: this.node, text });
        }
    }
}
