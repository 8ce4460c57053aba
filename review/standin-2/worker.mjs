// A worker as the protocol page describes it. One object stands for all lives of a worker under one id.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1_500;
const STOP_MS = 100;
const MAX_LISTED_ENDS = 500;

export class Worker {
    /** Order to start that is refused with 503, if this returns true. */
    isUnhealthy = () => false;
    /** Delay in ms after which a call is carried out without an answer, or undefined for a usual one. */
    lateBy = () => undefined;
    /** How often it was started. */
    lives = 0;
    isUp = false;

    /**
     * @param fields id, service, zone, labels, capacity, holdMaxMs
     * @param store The store in which it registers itself.
     * @param planOf Returns { ms, end } of a task: how long it works, and how it ends.
     * @param observe Called with what happens.
     */
    constructor(fields, store, planOf, observe, now) {
        Object.assign(this, fields);
        this.store = store;
        this.planOf = planOf;
        this.observe = observe;
        this.now = now;
    }

    /** Begins a life. @param born Unix millisecond of its start. */
    async start(born = Date.now()) {
        this.lives += 1;
        this.isUp = true;
        this.born = Math.round(born);
        this.bornAt = performance.now();
        this.fence = 0;
        this.runs = new Map();
        this.highest = new Map();
        this.ended = [];
        this.endCount = 0;
        this.endedAt = new Map();
        this.lapsedAt = 0;
        this.leaseUntil = 0;
        this.waiting = new Set();
        this.seq = 0;
        this.state = "ready";
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port ?? 0, "127.0.0.1", resolve);
        });
        this.port = this.server.address().port;
        this.address = `127.0.0.1:${this.port}`;
        this.observe({ kind: "worker-up", worker: this.id, life: this.lives, born: this.born });
        clearTimeout(this.expiry);
        this.beat();
        this.beats = setInterval(() => this.beat(), HEARTBEAT_MS);
        this.leases = setInterval(() => this.checkLease(), 20);
    }

    /** Ends a life without a word. Its entry expires after three heartbeats without one. */
    crash() {
        this.isUp = false;
        clearInterval(this.beats);
        clearInterval(this.leases);
        for (const run of this.runs.values()) {
            clearTimeout(run.timer);
            run.plan.gang?.leave(run, "lost");
            this.observe({ kind: "run-lost", worker: this.id, life: this.lives, task: run.task, run: run.run });
        }
        this.runs.clear();
        this.server.closeAllConnections();
        this.server.close();
        this.observe({ kind: "worker-down", worker: this.id, life: this.lives });
        this.expiry = setTimeout(() => this.store.put("keyed.servers", this.id, undefined), 3 * HEARTBEAT_MS);
    }

    close() {
        clearTimeout(this.expiry);
        clearInterval(this.beats);
        clearInterval(this.leases);
        for (const run of this.runs?.values() ?? []) {
            clearTimeout(run.timer);
        }
        this.server?.closeAllConnections();
        this.server?.close();
    }

    get clockMs() {
        return Math.round(performance.now() - this.bornAt);
    }

    beat() {
        this.seq += 1;
        const { service, address: addr, zone, capacity, labels, born, seq, state } = this;
        const entry = { service, addr, zone, version: "1", slots: 8, state, warmupLeftMs: 0, seq, capacity, labels, born };
        this.store.put("keyed.servers", this.id, JSON.stringify(entry));
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => {});
        request.on("end", () => {
            const call = `${request.method} ${request.url}`;
            let body = {};
            try {
                body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
            } catch {
                return this.send(response, 400, {});
            }
            const instance = request.headers["expect-instance"];
            const delayMs = this.lateBy(call, body);
            if (delayMs === undefined) {
                return this.handle(call, body, instance, response);
            }
            this.observe({ kind: "late-call", worker: this.id, life: this.lives, call, body, delayMs });
            // It gets no answer, and is carried out later, by whatever life answers at the address then.
            setTimeout(() => {
                if (this.isUp) {
                    this.observe({ kind: "late-call-done", worker: this.id, life: this.lives, call, body });
                    this.handle(call, body, instance, undefined);
                }
            }, delayMs);
        });
    }

    send(response, status, body) {
        if (response === undefined || response.destroyed) {
            return;
        }
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    }

    handle(call, body, instance, response) {
        if (call === "GET /healthz") {
            return this.send(response, this.state === "ready" ? 200 : 503, {});
        }
        if (instance !== undefined && instance !== this.id) {
            return this.send(response, 421, {});
        }
        const fence = body.fence ?? 0;
        if (fence < this.fence) {
            return this.send(response, 409, { clockMs: this.clockMs, reason: "fence" });
        }
        if (call === "POST /api/run-start" && this.isUnhealthy(body)) {
            this.observe({ kind: "start-refused", worker: this.id, task: body.task, run: body.run, status: 503 });
            return this.send(response, 503, {});
        }
        this.fence = fence;
        switch (call) {
            case "POST /api/run-start":
                return this.startRun(body, response);
            case "POST /api/run-stop":
                return this.stopRun(body, response);
            case "POST /api/pace":
                return this.send(response, 200, { clockMs: this.clockMs });
            case "POST /api/hold":
                return this.hold(body, response);
            default:
                return this.send(response, 404, {});
        }
    }

    extendLease(untilMs) {
        if (untilMs !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + this.holdMaxMs));
        }
    }

    startRun({ task, run, spec, untilMs, checkpointId }, response) {
        const answer = (status, reason) => this.send(response, status, { clockMs: this.clockMs, reason });
        const known = this.runs.get(task);
        if (known?.run === run) {
            this.extendLease(untilMs);
            return answer(200);
        }
        if (run <= (this.highest.get(task) ?? 0) || (known !== undefined && run < known.run)) {
            this.extendLease(untilMs);
            return answer(409, "old");
        }
        if (untilMs < this.clockMs) {
            return answer(409, "late");
        }
        const plan = this.planOf(task, run, this);
        const used = [...this.runs.values()].reduce((sum, each) => sum + each.plan.cpu, 0);
        if (known !== undefined || used + plan.cpu > this.capacity.cpu) {
            this.extendLease(untilMs);
            return answer(409, "room");
        }
        this.extendLease(untilMs);
        const entry = { task, run, plan, worker: this, startedAt: performance.now(), timer: undefined };
        this.runs.set(task, entry);
        this.observe({ kind: "run-start", worker: this.id, life: this.lives, task, run, spec, checkpointId });
        if (plan.gang !== undefined) {
            plan.gang.join(entry);
        } else {
            entry.timer = Number.isFinite(plan.ms) ? setTimeout(() => this.endRun(entry, plan.end ?? "done"), plan.ms) : undefined;
        }
        return answer(200);
    }

    stopRun({ task, run }, response) {
        this.highest.set(task, Math.max(this.highest.get(task) ?? 0, run));
        const entry = this.runs.get(task);
        if (entry !== undefined && entry.run <= run) {
            setTimeout(() => this.runs.get(task) === entry && this.endRun(entry, "stopped"), STOP_MS);
        }
        this.send(response, 200, { clockMs: this.clockMs });
    }

    hold({ lastSeen = 0, untilMs, waitMs = 0 }, response) {
        const forgotten = this.ended.filter(([number]) => number <= lastSeen);
        for (const [number, task, run, end] of forgotten) {
            const hasLapsed = this.lapsedAt > this.endedAt.get(number);
            this.observe({ kind: "end-noted", worker: this.id, life: this.lives, number, task, run, end, hasLapsed, lastSeen });
        }
        this.ended = this.ended.filter(([number]) => number > lastSeen);
        this.extendLease(untilMs);
        const life = this.lives;
        const answer = () => {
            this.waiting.delete(answer);
            clearTimeout(timer);
            if (life !== this.lives || !this.isUp) {
                return;
            }
            const running = [...this.runs.values()].map(entry => {
                const share = entry.plan.gang?.isWorking(entry) === false ? 0 : (performance.now() - entry.startedAt) / entry.plan.ms;
                const percent = Number.isFinite(entry.plan.ms) ? Math.min(99, Math.floor(share * 100)) : 100;
                return [entry.task, entry.run, "", percent, entry.plan.cpu];
            });
            const ended = this.ended.slice(0, MAX_LISTED_ENDS);
            this.send(response, 200, { clockMs: this.clockMs, born: this.born, running, ended });
        };
        const timer = setTimeout(answer, this.ended.length > 0 ? 0 : waitMs);
        this.waiting.add(answer);
    }

    endRun(entry, how) {
        clearTimeout(entry.timer);
        entry.plan.gang?.leave(entry, how);
        this.runs.delete(entry.task);
        this.highest.set(entry.task, Math.max(this.highest.get(entry.task) ?? 0, entry.run));
        this.endCount += 1;
        this.endedAt.set(this.endCount, this.clockMs);
        this.ended.push([this.endCount, entry.task, entry.run, how, ""]);
        const { task, run } = entry;
        this.observe({ kind: "run-end", worker: this.id, life: this.lives, task, run, end: how, number: this.endCount });
        for (const wake of [...this.waiting]) {
            wake();
        }
    }

    checkLease() {
        if (this.clockMs > this.leaseUntil) {
            this.lapsedAt = this.clockMs;
            for (const entry of [...this.runs.values()]) {
                this.endRun(entry, "lapsed");
            }
        }
    }
}

/** The members of one run of a gang: they work from when all are present, and end together. */
export class Gang {
    members = new Set();
    begun = false;

    constructor(size, ms, waitMs) {
        Object.assign(this, { size, ms, waitMs });
    }

    isWorking() {
        return this.begun;
    }

    join(entry) {
        this.members.add(entry);
        entry.timer = setTimeout(() => entry.worker.endRun(entry, "alone"), this.waitMs);
        if (this.members.size === this.size) {
            this.begun = true;
            for (const each of this.members) {
                clearTimeout(each.timer);
                each.timer = undefined;
            }
            this.timer = setTimeout(() => this.endAll("done"), this.ms);
        }
    }

    leave(entry, how) {
        if (!this.members.delete(entry) || how === "done") {
            return;
        }
        clearTimeout(this.timer);
        if (this.begun) {
            this.endAll("broken");
        }
    }

    endAll(how) {
        const members = [...this.members];
        this.members.clear();
        members.forEach(each => each.worker.endRun(each, how));
    }
}
