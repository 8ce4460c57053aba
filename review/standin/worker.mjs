// Stand-in of a worker: leases, fences, run numbers and ends as the protocol page describes them, on the real clock.
import { createServer } from "node:http";
import { send } from "./store.mjs";

const HOLD_MAX_MS = 6_000;
const STOP_MS = 200;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;
const TICK_MS = 10;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 600;
const STARTUP_MS = 300;

/** What a worker knows of a task from its spec: requests and work. Filled by the client that submits a job. */
export class Jobs {
    constructor() {
        this.byId = new Map();
    }

    /** @param behavior Per step: `workMs`, and optionally `endsBy(task, run, workedMs)`, which returns an end. */
    add(id, body, behavior) {
        this.byId.set(id, { id, ...body, behavior });
    }

    stepOf(task) {
        const [id, , step] = task.split(".");
        const job = this.byId.get(id);
        const wire = job?.steps[Number(step)];
        return wire === undefined ? undefined : { job, wire, behavior: job.behavior[Number(step)] };
    }
}

/** The runs of gangs over all workers: they work only while all members of one run are present. */
export class Gangs {
    constructor() {
        this.present = new Map();
    }

    keyOf(task, run, checkpoint) {
        return `${task.slice(0, task.lastIndexOf("."))}#${run}#${checkpoint}`;
    }

    enter(key, active, worker) {
        const members = this.present.get(key) ?? new Set();
        members.add({ active, worker });
        this.present.set(key, members);
    }

    members(key) {
        return [...(this.present.get(key) ?? [])];
    }

    leave(key, active) {
        const members = this.present.get(key);
        [...(members ?? [])].filter(each => each.active === active).forEach(each => members.delete(each));
    }
}

export class Worker {
    constructor(options) {
        Object.assign(this, { gangMs: 3_000, zone: "quimper", holdOrder: undefined }, options);
        this.server = createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.sockets = new Set();
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.isUp = false;
    }

    async listen() {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.begin();
    }

    /** Begins a life: it holds and knows nothing of before. */
    begin() {
        this.isUp = true;
        this.sockets.forEach(socket => socket.destroy());
        this.born = Date.now();
        this.startedAt = performance.now();
        this.active = new Map();
        this.highest = new Map();
        this.ends = [];
        this.endCount = 0;
        this.fence = 0;
        this.leaseUntil = 0;
        this.seq = 0;
        this.waiters = new Set();
        this.workedAt = performance.now();
        this.beat();
        this.beatTimer = setInterval(() => this.beat(), HEARTBEAT_MS);
        this.tickTimer = setInterval(() => this.tick(), TICK_MS);
    }

    /**
     * Crashes: everything that runs ends, nothing is listed.
     * @param isSilent Whether the connections stay open without an answer, as after a loss of power; otherwise they break.
     */
    crash(isSilent = false) {
        this.isUp = false;
        this.isSilent = isSilent;
        clearInterval(this.beatTimer);
        clearInterval(this.tickTimer);
        const runs = [...this.active.values()];
        this.active = new Map();
        for (const active of runs) {
            this.record("lost with its worker", { worker: this.id, task: active.task, run: active.run });
            this.observer?.onEnd(this, active, "lost");
        }
        for (const active of runs) {
            this.breakGang(active);
        }
        if (!isSilent) {
            this.sockets.forEach(socket => socket.destroy());
        }
    }

    close() {
        clearInterval(this.beatTimer);
        clearInterval(this.tickTimer);
        this.isUp = false;
        this.server.closeAllConnections();
        this.server.close();
    }

    get clock() {
        return Math.floor(performance.now() - this.startedAt);
    }

    beat() {
        this.seq += 1;
        this.store.put("keyed.servers", this.id, {
            service: this.service,
            addr: this.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            warmupLeftMs: 0,
            capacity: this.capacity,
            labels: ["a", this.rack ?? "r1-1"],
            clockMs: this.clock,
            seq: this.seq,
            born: this.born,
        });
    }

    get usedCpu() {
        return [...this.active.values()].reduce((sum, { wire }) => sum + (wire.fills ? 0 : (wire.cpu ?? 0)), 0);
    }

    get usedMemory() {
        return [...this.active.values()].reduce((sum, { wire }) => sum + (wire.memMb ?? 0), 0);
    }

    receive(request, response) {
        if (!this.isUp) {
            if (!this.isSilent) {
                request.socket.destroy();
            }
            return;
        }
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => response.destroy());
        request.on("end", () => {
            const text = Buffer.concat(chunks).toString("utf8");
            const order = { path: request.url, instance: request.headers["expect-instance"], body: text };
            if (this.holdOrder?.(this, order) === true) {
                return;
            }
            this.execute(order, response);
        });
    }

    /** Carries out an order. @param response Receives the answer; left out for an order that is carried out late. */
    execute({ path, instance, body }, response) {
        const answer = (status, value) => {
            if (response !== undefined) {
                send(response, status, value);
            }
            return status;
        };
        if (path === "/healthz") {
            return answer(200, {});
        }
        if (instance !== undefined && instance !== this.id) {
            return answer(421, { clockMs: this.clock });
        }
        const order = JSON.parse(body);
        this.tick();
        const fence = order.fence ?? 0;
        if (fence < this.fence) {
            return answer(409, { clockMs: this.clock, reason: "fence" });
        }
        this.fence = fence;
        switch (path) {
            case "/api/run-start":
                return this.start(order, answer);
            case "/api/run-stop":
                return this.stop(order, answer);
            case "/api/hold":
                return this.hold(order, answer, response);
            case "/api/pace": {
                const active = this.active.get(order.task);
                if (active?.run !== order.run) {
                    return answer(409, { clockMs: this.clock, reason: "old" });
                }
                active.percent = order.percent;
                return answer(200, { clockMs: this.clock });
            }
            default:
                return answer(404, {});
        }
    }

    extend(untilMs) {
        if (untilMs !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clock + HOLD_MAX_MS));
        }
    }

    start(order, answer) {
        const { task, run, spec, untilMs, checkpointId = "" } = order;
        const known = this.jobs.stepOf(task);
        if (known === undefined || known.job.spec !== spec) {
            this.record("RULE UNASKED: a start that no client sent", { worker: this.id, task, run });
            return answer(400, { clockMs: this.clock });
        }
        if (untilMs <= this.clock) {
            return answer(409, { clockMs: this.clock, reason: "late" });
        }
        const current = this.active.get(task);
        if (current?.run === run) {
            this.extend(untilMs);
            return answer(200, { clockMs: this.clock });
        }
        this.extend(untilMs);
        if (current !== undefined || run <= (this.highest.get(task) ?? 0)) {
            return answer(409, { clockMs: this.clock, reason: "old" });
        }
        const { wire, behavior } = known;
        const cpu = wire.fills ? 0 : (wire.cpu ?? 0);
        const hasRoom =
            this.usedCpu + cpu <= this.capacity.cpu && this.usedMemory + (wire.memMb ?? 0) <= this.capacity.memMb;
        if (!hasRoom) {
            return answer(409, { clockMs: this.clock, reason: "room" });
        }
        const restoredMs = checkpointId === "" ? 0 : parseInt(checkpointId.slice(0, 8), 16);
        const active = {
            task,
            run,
            wire,
            behavior,
            job: known.job,
            checkpointId,
            saved: checkpointId,
            doneMs: restoredMs === 0 ? 0 : restoredMs - RESTORE_MS,
            restoredMs,
            percent: 100,
            since: performance.now(),
            stopsAt: undefined,
        };
        if (wire.gang) {
            active.gangKey = this.gangs.keyOf(task, run, checkpointId);
            this.gangs.enter(active.gangKey, active, this);
        }
        this.active.set(task, active);
        if (this.isQuiet !== true) {
            this.record("start", { worker: this.id, task, run, checkpointId, clockMs: this.clock });
        }
        this.observer?.onStart(this, active);
        return answer(200, { clockMs: this.clock });
    }

    stop({ task, run }, answer) {
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        const active = this.active.get(task);
        if (active !== undefined && active.run <= run) {
            active.stopsAt ??= performance.now() + STOP_MS;
        }
        return answer(200, { clockMs: this.clock });
    }

    hold({ untilMs, lastSeen = 0, waitMs = 0 }, answer, response) {
        this.extend(untilMs);
        this.ends = this.ends.filter(each => each[0] > lastSeen);
        const reply = () => answer(200, { clockMs: this.clock, born: this.born, ...this.lists() });
        if (this.ends.length > 0 || waitMs === 0 || response === undefined) {
            return reply();
        }
        const waiters = this.waiters;
        const finish = () => {
            clearTimeout(timer);
            waiters.delete(finish);
            if (this.isUp && waiters === this.waiters) {
                reply();
            }
        };
        const timer = setTimeout(finish, Math.min(2_000, waitMs));
        waiters.add(finish);
        return 200;
    }

    lists() {
        const running = [...this.active.values()].map(active => {
            const used = active.wire.latencySloMs === undefined ? (active.wire.cpu ?? 0) : 1;
            return [active.task, active.run, active.saved, percentOf(active), used];
        });
        return { running, ended: this.ends.slice(0, MAX_LISTED_ENDS) };
    }

    tick() {
        const now = performance.now();
        const elapsedMs = now - this.workedAt;
        this.workedAt = now;
        for (const active of [...this.active.values()]) {
            this.advance(active, elapsedMs, now);
        }
    }

    advance(active, elapsedMs, now) {
        if (this.active.get(active.task) !== active) {
            return;
        }
        if (this.clock > this.leaseUntil) {
            this.end(active, "lapsed");
            return;
        }
        if (active.stopsAt !== undefined && now >= active.stopsAt) {
            active.saved = checkpointOf(active, active.doneMs);
            this.end(active, "stopped");
            return;
        }
        if (active.gangKey !== undefined) {
            const members = this.gangs.members(active.gangKey);
            if (members.length < active.wire.count && !active.hasWorked) {
                if (now - active.since > this.gangMs) {
                    this.end(active, "alone");
                }
                return;
            }
            active.hasWorked = true;
        }
        active.doneMs += (elapsedMs * active.percent) / 100;
        active.saved = checkpointOf(active, Math.floor(active.doneMs / CHECKPOINT_MS) * CHECKPOINT_MS);
        const end = active.behavior.endsBy?.(active, now) ?? (active.doneMs >= active.behavior.workMs ? "done" : undefined);
        if (end !== undefined) {
            this.end(active, end);
        }
    }

    end(active, how) {
        this.active.delete(active.task);
        this.highest.set(active.task, Math.max(active.run, this.highest.get(active.task) ?? 0));
        this.endCount += 1;
        this.ends.push([this.endCount, active.task, active.run, how, active.saved]);
        if (this.isQuiet !== true) {
            const { task, run, saved } = active;
            this.record("end", { worker: this.id, task, run, how, saved });
        }
        this.observer?.onEnd(this, active, how);
        if (how !== "done") {
            this.breakGang(active);
        } else if (active.gangKey !== undefined) {
            this.gangs.leave(active.gangKey, active);
        }
        [...this.waiters].forEach(wake => wake());
    }

    /** The other members of a gang that has begun its work end, too. */
    breakGang(active) {
        if (active.gangKey === undefined) {
            return;
        }
        const { gangs } = this;
        gangs.leave(active.gangKey, active);
        if (active.hasWorked) {
            for (const { active: other, worker } of gangs.members(active.gangKey)) {
                if (worker.active.get(other.task) === other) {
                    worker.end(other, "broken");
                }
            }
        }
    }
}

/** A value names the work that it saves; the members of a gang work in step. */
function checkpointOf({ wire, job, saved, restoredMs }, savedMs) {
    if (!wire.checkpoint || savedMs <= Math.max(0, restoredMs)) {
        return saved;
    }
    return Math.floor(savedMs).toString(16).padStart(8, "0") + job.id.slice(4, 12);
}

function percentOf({ wire, doneMs, behavior }) {
    if (wire.longRunning) {
        return doneMs >= STARTUP_MS ? 100 : 0;
    }
    return Math.max(0, Math.min(99, Math.floor((100 * doneMs) / behavior.workMs)));
}
