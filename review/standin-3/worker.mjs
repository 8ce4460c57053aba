// Stand-in of a worker (PROTOCOL.md, "Running tasks"). It guards its capacity.
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const HEARTBEAT_MS = 1_500;
const TICK_MS = 10;
const LISTED_ENDS = 500;
const CHECKPOINT_MS = 500;

let born = 0;

/**
 * `site` has: store, host, service, bounds, jobs (by ID: {spec, steps}), plan(task, run) -> {workMs, end}, note(event).
 */
export class Worker {
    constructor(site, number, capacity) {
        this.site = site;
        this.number = number;
        this.capacity = capacity;
        this.id = `i-${(0x10000 + number * 7919).toString(16)}`;
        this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => this.receive(request, response));
        this.timers = [];
        /** While true, calls get no answer and have no effect (a cut link, or a machine without power). */
        this.isCut = false;
        /** Reported with its entry; a number once the worker drains. */
        this.drainRemainingMs = undefined;
        /** Called with each order that arrives. */
        this.onOrder = () => undefined;
        this.muted = new WeakSet();
    }

    async start() {
        await new Promise(resolve => this.server.listen(0, this.site.host, resolve));
        this.address = `${this.site.host}:${this.server.address().port}`;
        this.begin();
    }

    begin() {
        this.born = born = Math.max(Date.now(), born + 1);
        this.startedAt = performance.now();
        this.runs = new Map();
        this.highest = new Map();
        this.ends = [];
        this.endCount = 0;
        this.fence = 0;
        this.leaseUntil = 0;
        this.seq = 0;
        this.waiting = new Set();
        this.register();
        this.timers.push(setInterval(() => this.register(), HEARTBEAT_MS), setInterval(() => this.tick(), TICK_MS));
    }

    /** Leaves for good: its runs end unheard, its machine has no power, and its entry is removed. */
    leave() {
        this.timers.splice(0).forEach(timer => clearInterval(timer));
        this.isCut = true;
        const runs = [...this.runs.values()];
        this.runs.clear();
        runs.forEach(({ task, run }) => this.site.note({ kind: "end", worker: this.id, task, run, how: "gone" }));
        this.site.store.put("keyed.servers", this.id, undefined);
    }

    stop() {
        this.timers.forEach(timer => clearInterval(timer));
        this.server.closeAllConnections();
        this.server.close();
    }

    get clock() {
        return Math.floor(performance.now() - this.startedAt);
    }

    get free() {
        let { cpu, memMb, gpu } = this.capacity;
        for (const { step } of this.runs.values()) {
            cpu -= step.fills ? 0 : (step.cpu ?? 0);
            memMb -= step.memMb ?? 0;
            gpu -= step.gpu ?? 0;
        }
        return { cpu, memMb, gpu };
    }

    register() {
        if (this.isCut) {
            return;
        }
        this.seq += 1;
        this.site.store.put("keyed.servers", this.id, {
            service: this.site.service,
            addr: this.address,
            zone: this.site.workerZone,
            version: "v1",
            slots: 8,
            state: this.drainRemainingMs === undefined ? "ready" : "draining",
            drainRemainingMs: this.drainRemainingMs,
            warmupLeftMs: 0,
            capacity: this.capacity,
            labels: ["a", `r1-${1 + (this.number >> 3)}`],
            seq: this.seq,
            born: this.born,
        });
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => response.destroy());
        request.on("end", async () => {
            if (this.site.linkMs > 0) {
                await delay(this.site.linkMs);
            }
            if (this.isCut) {
                this.muted.add(request.socket);
                return;
            }
            const expected = request.headers["expect-instance"];
            if (request.url === "/healthz") {
                this.reply(response, 200, {});
            } else if (expected !== undefined && expected !== this.id) {
                this.reply(response, 421, { clockMs: this.clock });
            } else {
                this.execute(request.url, JSON.parse(Buffer.concat(chunks).toString("utf8")), response);
            }
        });
    }

    execute(path, order, response) {
        this.onOrder(path, order);
        if (this.isCut) {
            this.muted.add(response.socket);
            return;
        }
        this.tick();
        if ((order.fence ?? 0) < this.fence) {
            this.reply(response, 409, { clockMs: this.clock, reason: "fence" });
            return;
        }
        this.fence = order.fence ?? 0;
        if (path === "/api/run-start") {
            const [status, reason] = this.startRun(order);
            this.reply(response, status, { clockMs: this.clock, reason });
        } else if (path === "/api/run-stop") {
            this.stopRun(order);
            this.reply(response, 200, { clockMs: this.clock });
        } else if (path === "/api/pace") {
            this.reply(response, 200, { clockMs: this.clock });
        } else if (path === "/api/hold") {
            this.hold(order, response);
        } else {
            this.reply(response, 404, { clockMs: this.clock });
        }
    }

    startRun({ task, run, spec, untilMs, checkpointId = "" }) {
        if (untilMs <= this.clock) {
            return [409, "late"];
        }
        this.extendLease(untilMs);
        const active = this.runs.get(task);
        if (active?.run === run) {
            return [200];
        }
        if (active !== undefined || run <= (this.highest.get(task) ?? 0)) {
            return [409, "old"];
        }
        const [id, , number] = task.split(".");
        const job = this.site.jobs.get(id);
        const step = job?.steps[Number(number)];
        if (step === undefined) {
            this.site.note({ kind: "unasked", worker: this.id, task, run });
            return [400];
        }
        const { cpu, memMb, gpu } = this.free;
        const needed = step.fills ? 0 : (step.cpu ?? 0);
        if (needed > cpu || (step.memMb ?? 0) > memMb || (step.gpu ?? 0) > gpu) {
            return [409, "room"];
        }
        const plan = this.site.plan(task, run);
        const saved = checkpointId === "" ? 0 : Number.parseInt(checkpointId.split("-")[1], 10);
        this.runs.set(task, { task, run, step, plan, startedAt: performance.now() - saved, stopsAt: undefined });
        this.site.note({ kind: "start", worker: this.id, task, run, isSpec: spec === job.spec });
        return [200];
    }

    stopRun({ task, run }) {
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        const active = this.runs.get(task);
        if (active !== undefined && active.run <= run) {
            active.stopsAt ??= performance.now() + this.site.bounds.stopMs / 2;
        }
    }

    hold({ untilMs = 0, lastSeen = 0, waitMs = 0 }, response) {
        this.extendLease(untilMs);
        for (const end of this.ends.filter(each => each.number <= lastSeen)) {
            this.site.note({ kind: "noted", worker: this.id, task: end.task, run: end.run, how: end.how });
        }
        this.ends = this.ends.filter(each => each.number > lastSeen);
        const finish = () => {
            clearTimeout(timer);
            this.waiting.delete(finish);
            const listed = this.ends.slice(0, LISTED_ENDS);
            const ended = listed.map(each => [each.number, each.task, each.run, each.how, each.saved]);
            const running = [...this.runs.values()].map(each => this.rowOf(each));
            this.reply(response, 200, { clockMs: this.clock, born: this.born, running, ended });
            listed.forEach(each => this.site.lastListed.set(`${each.task}/${each.run}`, this.site.now));
        };
        const timer = setTimeout(finish, this.ends.length > 0 ? 0 : waitMs);
        this.waiting.add(finish);
    }

    rowOf(each) {
        const doneMs = performance.now() - each.startedAt;
        const percent = each.step.longRunning ? 100 : Math.min(99, Math.floor((100 * doneMs) / each.plan.workMs));
        return [each.task, each.run, this.checkpointOf(each), percent, each.step.cpu ?? 0];
    }

    checkpointOf({ task, run, step, startedAt }) {
        const saved = CHECKPOINT_MS * Math.floor((performance.now() - startedAt) / CHECKPOINT_MS);
        return step.checkpoint && saved > 0 ? `${task}.${run}-${saved}` : "";
    }

    extendLease(untilMs) {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock + this.site.bounds.holdMaxMs));
    }

    tick() {
        const now = performance.now();
        if (this.leaseUntil > 0 && this.clock > this.leaseUntil) {
            this.leaseUntil = 0;
            [...this.runs.values()].forEach(run => this.endRun(run, "lapsed"));
        }
        for (const run of [...this.runs.values()]) {
            if (run.stopsAt !== undefined && now >= run.stopsAt) {
                this.endRun(run, "stopped");
            } else if (now - run.startedAt >= run.plan.workMs) {
                this.endRun(run, run.plan.end);
            }
        }
    }

    endRun(active, how) {
        const { task, run } = active;
        this.runs.delete(task);
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        this.endCount += 1;
        const saved = how === "done" ? "" : this.checkpointOf(active);
        this.ends.push({ number: this.endCount, task, run, how, saved });
        this.site.note({ kind: "end", worker: this.id, task, run, how });
        [...this.waiting].forEach(wake => wake());
    }

    async reply(response, status, body) {
        if (this.site.linkMs > 0) {
            await delay(this.site.linkMs);
        }
        if (response.destroyed || !response.socket || this.isCut || this.muted.has(response.socket)) {
            return;
        }
        const text = Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-type": "application/json", "content-length": text.length });
        response.end(text);
    }
}
