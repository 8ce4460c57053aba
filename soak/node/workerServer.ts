import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { Random } from "../../src/proof/node/random";
import { BOUNDS } from "../common/bounds";
import { RunEnd, SoakJob, SoakObservation, SoakStep, stepNumberOf, jobIdOf, WorkerCapacity } from "../common/soakEvent";
import { StoreServer } from "./storeServer";

const TICK_MS = 20;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;

/** Time after which a task that lasts is at work, in ms. */
const STARTUP_MS = 300;

/** A worker's clock may be this much slower than real time. */
const MAX_CLOCK_LAG = 0.02;

/** Bounds of the time by which an order is carried out late, in ms. */
const LATE_ORDER_MS = [500, 4_000] as const;

/** What a task does: how long it works, in ms, and how it ends; with `crash` it crashes its worker. */
export interface TaskPlan {
    readonly workMs: number;
    readonly end: "done" | "failed" | "crash";
}

interface ActiveRun {
    readonly task: string;
    readonly run: number;
    readonly step: SoakStep;
    readonly plan: TaskPlan;
    readonly startedAt: number;
    stopsAt: number | undefined;
}

interface Order {
    readonly task?: string;
    readonly run?: number;
    readonly spec?: string;
    readonly untilMs?: number;
    readonly fence?: number;
    readonly lastSeen?: number;
    readonly waitMs?: number;
}

/** Answers an order; does nothing for one that is carried out late. */
type Reply = (status: number, body: object) => void;

/** What a worker has in common with the others. */
export interface WorkerContext {
    readonly host: string;
    readonly service: string;
    readonly store: StoreServer;
    readonly jobs: ReadonlyMap<string, SoakJob>;
    readonly random: Random;
    readonly planTask: (task: string, run: number) => TaskPlan;
    /** Crashes a worker, as a task has done, and lets it return. @param worker Its number. */
    readonly crashWorker: (worker: number) => void;
    readonly observe: (observation: SoakObservation) => void;
}

/** Stand-in of a worker over HTTP. It does not guard its capacity. */
export class WorkerServer {
    private readonly sockets = new Set<Socket>();
    private readonly timers: NodeJS.Timeout[] = [];
    private id = "";
    private born = 0;
    private startedAt = 0;
    private clockRate = 1;
    private activeRuns = new Map<string, ActiveRun>();
    private highestRuns = new Map<string, number>();
    private ends: { readonly number: number; readonly task: string; readonly run: number; readonly end: RunEnd }[] = [];
    private endCount = 0;
    private fence = 0;
    private leaseUntil = 0;
    private sequence = 0;
    private waiters = new Set<() => void>();
    private isSilent = false;
    /** Number of faults that make it carry out orders late. */
    lateFaults = 0;
    isUp = false;
    /** Host and port in its registration. */
    address = "";

    private constructor(
        readonly number: number,
        private readonly capacity: WorkerCapacity,
        private readonly server: Server,
        private readonly context: WorkerContext,
    ) {}

    /** @param number Number of the worker. @param capacity Its resources. @returns A worker that is not up yet. */
    static async start(number: number, capacity: WorkerCapacity, context: WorkerContext): Promise<WorkerServer> {
        const server = createServer({ keepAliveTimeout: 60_000 });
        const worker = new WorkerServer(number, capacity, server, context);
        server.on("request", (request, response) => worker.receive(request, response));
        server.on("connection", socket => {
            worker.sockets.add(socket);
            socket.on("close", () => worker.sockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(0, context.host, resolve));
        return worker;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Begins an incarnation, which knows nothing of the former ones. @param id ID under which it registers. */
    begin(id = this.id): void {
        if (!this.server.listening) {
            return;
        }
        this.sockets.forEach(socket => socket.destroy());
        this.id = id;
        this.isUp = true;
        this.born = Math.max(Date.now(), this.born + 1);
        this.startedAt = performance.now();
        this.clockRate = 1 - this.context.random.fraction() * MAX_CLOCK_LAG;
        this.highestRuns = new Map();
        this.ends = [];
        this.endCount = 0;
        this.fence = 0;
        this.leaseUntil = 0;
        this.sequence = 0;
        this.waiters = new Set();
        this.context.observe({ kind: "worker-began", worker: this.number, capacity: this.capacity });
        this.register();
        this.timers.push(setInterval(() => this.register(), HEARTBEAT_MS));
        this.timers.push(setInterval(() => this.endDueRuns(), TICK_MS));
    }

    /** Ends all runs without listing their ends. @param isSilent Whether its connections stay open without an answer. */
    crash(isSilent: boolean): void {
        this.isUp = false;
        this.isSilent = isSilent;
        this.timers.splice(0).forEach(timer => clearInterval(timer));
        const runs = [...this.activeRuns.values()];
        this.activeRuns.clear();
        runs.forEach(({ task, run }) => this.observeEnd(task, run, "lost"));
        this.context.observe({ kind: "worker-ended", worker: this.number });
        if (!isSilent) {
            this.sockets.forEach(socket => socket.destroy());
        }
    }

    /** Removes the registration of an ID, unless the worker is up under it. */
    deregister(id: string): void {
        if (!this.isUp || this.id !== id) {
            this.context.store.put("keyed.servers", id, undefined);
        }
    }

    /** ID of the latest incarnation. */
    get instance(): string {
        return this.id;
    }

    dispose(): void {
        this.timers.forEach(timer => clearInterval(timer));
        this.isUp = false;
        this.server.closeAllConnections();
        this.server.close();
    }

    private get clock(): number {
        return Math.floor((performance.now() - this.startedAt) * this.clockRate);
    }

    private register(): void {
        if (!this.context.store.isUp) {
            return;
        }
        this.sequence += 1;
        this.context.store.put("keyed.servers", this.id, {
            service: this.context.service,
            addr: this.address,
            zone: "quimper",
            version: "v1",
            slots: 8,
            state: "ready",
            warmupLeftMs: 0,
            capacity: { ...this.capacity, gpu: 0 },
            labels: ["a", `r1-${1 + (this.number % 2)}`],
            clockMs: this.clock,
            seq: this.sequence,
            born: this.born,
        });
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("error", () => response.destroy());
        request.on("end", () => {
            const { born } = this;
            const reply: Reply = (status, body) => this.isUp && this.born === born && send(response, status, body);
            if (!this.isUp) {
                if (!this.isSilent) {
                    request.socket.destroy();
                }
            } else if (request.url === "/healthz") {
                reply(200, {});
            } else if (this.isForOther(request)) {
                reply(421, { clockMs: this.clock });
            } else {
                this.acceptOrder(request.url ?? "", JSON.parse(Buffer.concat(chunks).toString("utf8")) as Order, reply);
            }
        });
    }

    private isForOther(request: IncomingMessage): boolean {
        const expected = request.headers["expect-instance"];
        return expected !== undefined && expected !== this.id;
    }

    private acceptOrder(path: string, order: Order, reply: Reply): void {
        if (this.lateFaults > 0 && this.context.random.chance(0.3)) {
            const { born } = this;
            const execute = () => this.isUp && this.born === born && this.execute(path, order, () => undefined, true);
            setTimeout(execute, this.context.random.between(...LATE_ORDER_MS));
        } else {
            this.execute(path, order, reply, false);
        }
    }

    private execute(path: string, order: Order, reply: Reply, isLate: boolean): void {
        this.endDueRuns();
        if (!this.isUp) {
            return;
        }
        const fence = order.fence ?? 0;
        if (fence < this.fence) {
            reply(409, { clockMs: this.clock, reason: "fence" });
            return;
        }
        this.fence = fence;
        this.context.observe({ kind: "order-executed", worker: this.number, fence });
        if (path === "/api/run-start") {
            this.start(order, reply, isLate);
        } else if (path === "/api/run-stop") {
            this.stop(order, reply);
        } else if (path === "/api/hold") {
            this.hold(order, reply);
        } else {
            reply(path === "/api/pace" ? 200 : 404, { clockMs: this.clock });
        }
    }

    private start({ task = "", run = 0, spec = "", untilMs = 0 }: Order, reply: Reply, isLate: boolean): void {
        const job = this.context.jobs.get(jobIdOf(task));
        const step = job?.steps[stepNumberOf(task)];
        const active = this.activeRuns.get(task);
        if (untilMs <= this.clock) {
            reply(409, { clockMs: this.clock, reason: "late" });
            return;
        }
        this.extendLease(untilMs);
        if (active?.run === run) {
            reply(200, { clockMs: this.clock });
        } else if (active !== undefined || run <= (this.highestRuns.get(task) ?? 0)) {
            reply(409, { clockMs: this.clock, reason: "old" });
        } else {
            const isAsked = step !== undefined && job?.spec === spec;
            const plan = isAsked ? this.context.planTask(task, run) : undefined;
            const isDeadly = plan?.end === "crash";
            this.context.observe({ kind: "run-started", worker: this.number, task, run, spec, isLate, isDeadly });
            if (step === undefined || plan === undefined) {
                this.observeEnd(task, run, "failed");
                reply(400, { clockMs: this.clock });
                return;
            }
            this.activeRuns.set(task, { task, run, step, plan, startedAt: performance.now(), stopsAt: undefined });
            reply(200, { clockMs: this.clock });
        }
    }

    private stop({ task = "", run = 0 }: Order, reply: Reply): void {
        this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
        const active = this.activeRuns.get(task);
        if (active !== undefined && active.run <= run) {
            active.stopsAt ??= performance.now() + BOUNDS.stopMs;
        }
        reply(200, { clockMs: this.clock });
    }

    private hold({ untilMs = 0, lastSeen = 0, waitMs = 0 }: Order, reply: Reply): void {
        this.extendLease(untilMs);
        for (const { task, run, end } of this.ends.filter(each => each.number <= lastSeen)) {
            this.context.observe({ kind: "end-confirmed", worker: this.number, task, run, end });
        }
        this.ends = this.ends.filter(each => each.number > lastSeen);
        const { waiters } = this;
        const finish = () => {
            clearTimeout(timer);
            waiters.delete(finish);
            reply(200, { clockMs: this.clock, born: this.born, ...this.lists() });
        };
        const timer = setTimeout(finish, this.ends.length > 0 ? 0 : waitMs);
        waiters.add(finish);
    }

    private lists(): object {
        const running = [...this.activeRuns.values()].map(({ task, run, step, plan, startedAt }) => {
            const doneMs = performance.now() - startedAt;
            const percent = Math.min(99, Math.floor((100 * doneMs) / plan.workMs));
            const lastingPercent = doneMs >= STARTUP_MS ? 100 : 0;
            return [task, run, "", step.longRunning === true ? lastingPercent : percent, step.cpu];
        });
        const ended = this.ends.slice(0, MAX_LISTED_ENDS).map(each => [each.number, each.task, each.run, each.end, ""]);
        return { running, ended };
    }

    private extendLease(untilMs: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock + BOUNDS.holdMaxMs));
    }

    private endDueRuns(): void {
        const now = performance.now();
        if (this.leaseUntil > 0 && this.clock > this.leaseUntil) {
            this.leaseUntil = 0;
            this.context.observe({ kind: "lease-lapsed", worker: this.number });
            [...this.activeRuns.values()].forEach(run => this.endRun(run, "lapsed"));
        }
        for (const run of [...this.activeRuns.values()]) {
            if (run.stopsAt !== undefined && now >= run.stopsAt) {
                this.endRun(run, "stopped");
            } else if (now - run.startedAt >= run.plan.workMs) {
                if (run.plan.end === "crash") {
                    this.context.crashWorker(this.number);
                    return;
                }
                this.endRun(run, run.plan.end);
            }
        }
    }

    private endRun({ task, run }: ActiveRun, end: RunEnd): void {
        this.activeRuns.delete(task);
        this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
        this.endCount += 1;
        this.ends.push({ number: this.endCount, task, run, end });
        this.observeEnd(task, run, end);
        [...this.waiters].forEach(wake => wake());
    }

    private observeEnd(task: string, run: number, end: RunEnd): void {
        this.context.observe({ kind: "run-ended", worker: this.number, task, run, end });
    }
}

function send(response: ServerResponse, status: number, body: object): void {
    if (!response.destroyed) {
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    }
}
