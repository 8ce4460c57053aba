// A small deployment on loopback: the store, workers and entry instances with the deploy file's command and template.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest, Agent } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { delay, Store } from "./store.mjs";
import { Gangs, Jobs, Worker } from "./worker.mjs";

const RULE_BROKEN = 1;
const RULE_HELD = 0;
const NOT_RUN = 2;

/** Time after which a case that has no verdict is ended, in ms. */
const LIMIT_MS = 115_000;

/** The same names as in the settings that the platform fills in, with the figures of the site `kerblason`. */
const BOUNDS = {
    stableWindowMs: 4000,
    ackMs: 5000,
    drainMs: 2500,
    graceS: 6,
    configApplyMs: 2500,
    holdMaxMs: 6000,
    stopMs: 200,
    gangMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    crossRackFactor: 3,
    checkpointIntervalS: 0.5,
    restoreMs: 600,
    noticeMs: 5500,
    leaseMs: 3000,
    paceMs: 100,
    harmMs: 4000,
};

export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";
export const SERVICE = "huvo11a";
export const hasTrouble = process.env.TROUBLE !== "0";

export async function freePort() {
    const server = createServer();
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

export function randomId() {
    return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
}

export class Deployment {
    /** @param folder Folder of the case, which gets record.txt. */
    constructor(folder, options = {}) {
        this.options = { entries: 3, workers: 8, cpu: 64_000, memMb: 256_000, ...options };
        this.startedAt = performance.now();
        this.output = createWriteStream(join(folder, "record.txt"));
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.jobs = new Jobs();
        this.gangs = new Gangs();
        this.entries = [];
        this.processes = [];
        this.workers = [];
        this.agent = new Agent({ keepAlive: true, maxSockets: 64 });
    }

    get seconds() {
        return (performance.now() - this.startedAt) / 1_000;
    }

    record = (what, data = {}) => {
        this.output.write(`${this.seconds.toFixed(3).padStart(8)} ${what} ${JSON.stringify(data)}\n`);
    };

    async start() {
        const { observer: _observer, holdOrder: _holdOrder, ...options } = this.options;
        this.record("case", { trouble: hasTrouble, ...options });
        this.store = new Store(this.record);
        await this.store.listen();
        const { workers, cpu, memMb } = this.options;
        for (let number = 0; number < workers; number++) {
            const worker = new Worker({
                id: `i-${(0x7f3a91c200 + number).toString(16)}`,
                rack: `r1-${1 + (number % 2)}`,
                service: SERVICE,
                capacity: { cpu, memMb, gpu: 0 },
                store: this.store,
                jobs: this.jobs,
                gangs: this.gangs,
                record: this.record,
                isQuiet: this.options.isQuiet,
                observer: this.options.observer,
                holdOrder: this.options.holdOrder,
            });
            await worker.listen();
            this.workers.push(worker);
        }
        this.putConfiguration(1);
        for (let number = 1; number <= this.options.entries; number++) {
            this.entries.push(await this.createEntry(number));
        }
        this.entries.forEach(entry => this.spawn(entry));
    }

    putConfiguration(version) {
        const queue = { host: HOST, prefix: PREFIX, kind: "unsafe", timeoutMs: 3000, sloMs: 500 };
        this.store.put("keyed.op", "config", {
            version,
            routes: [{ name: "r-1", ...queue, service: SERVICE, attempts: 2, stretch: 1.5, ...this.options.queue }],
            services: [{ name: SERVICE, healthPath: "/healthz", rejectsOverload: true }],
            limits: { maxBodyBytes: 262144 },
        });
        this.record("configuration", { version });
    }

    async createEntry(number) {
        const ip = "127.0.0.1";
        const ports = [await freePort(), await freePort(), await freePort()];
        const fields = {
            node: `edge-quimper-${number}`,
            ip,
            zone: "quimper",
            region: "finistere",
            listen: { front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}` },
            portRange: [ports[2], ports[2]],
            limits: { cpuShare: 0.27, cores: 1, memoryMb: 350, maxFds: 4100 },
            platform: { addr: this.store.address },
            bounds: BOUNDS,
        };
        const file = join(this.folder, `${fields.node}.yaml`);
        writeFileSync(file, fillIn(readFileSync("deploy/settings.yaml", "utf8"), fields));
        return { ...fields, file, process: undefined, starts: 0 };
    }

    /** Starts the program of an entry machine with the command of the deploy file. */
    spawn(entry) {
        const run = /^run = "([^"]+)"/m.exec(readFileSync("deploy/system.toml", "utf8"))[1];
        const [program, ...words] = run.split(" ");
        const log = createWriteStream(join(this.folder, `${entry.node}.log`), { flags: "a" });
        const env = { PATH: process.env.PATH, HOME: process.env.HOME, WIGEONSTALL_BOOT: entry.file };
        const child = spawn(program, words, { env, stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        child.stdout.on("data", chunk => this.options.onLog?.(entry, chunk.toString("utf8")));
        entry.starts += 1;
        entry.process = child;
        this.processes.push(child);
        this.record("process starts", { node: entry.node, starts: entry.starts });
        child.on("error", error => this.record("process does not start", { node: entry.node, error: error.message }));
        child.on("exit", (code, signal) => {
            this.record("process ends", { node: entry.node, code, signal });
            this.options.onExit?.(entry, code, signal);
        });
        return child;
    }

    async untilReady(timeoutMs = 20_000) {
        const limit = performance.now() + timeoutMs;
        for (const entry of this.entries) {
            while ((await this.probe(entry)) !== 200) {
                if (performance.now() > limit) {
                    throw new Error(`${entry.node} is not ready`);
                }
                await delay(100);
            }
        }
        this.record("all ready");
    }

    async probe(entry) {
        const answer = await this.call(entry.listen.ready, "GET", "/api/readyz").catch(() => undefined);
        return answer?.status;
    }

    call(address, method, path, body, timeoutMs = 3_000) {
        const [hostname, port] = address.split(":");
        const text = body === undefined ? undefined : JSON.stringify(body);
        const headers = { host: HOST, "deadline-ms": String(timeoutMs) };
        if (text !== undefined) {
            headers["content-type"] = "application/json";
            headers["content-length"] = Buffer.byteLength(text);
        }
        return new Promise((resolve, reject) => {
            const request = httpRequest({ hostname, port, method, path, headers, agent: this.agent }, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("end", () => {
                    const value = Buffer.concat(chunks).toString("utf8");
                    resolve({ status: response.statusCode, body: value === "" ? {} : parse(value) });
                });
                response.on("error", reject);
            });
            request.setTimeout(timeoutMs, () => request.destroy(new Error("deadline")));
            request.on("error", reject);
            request.end(text);
        });
    }

    /** Hands in a job as a client does: with the same ID again, at another node, after no answer, 502, 503 or 504. */
    async submit(body, behavior, id = randomId()) {
        this.jobs.add(id, body, behavior);
        for (let attempt = 0; attempt < 8; attempt++) {
            const entry = this.entries[Math.floor(Math.random() * this.entries.length)];
            const path = PREFIX + id;
            const answer = await this.call(entry.listen.front, "POST", path, body).catch(error => ({
                status: `none (${error.message})`,
            }));
            const shape = body.steps.map(({ count, cpu }) => `${count} tasks of ${cpu}`).join(", ");
            this.record("submit", { id, shape, node: entry.node, status: answer.status });
            if (answer.status === 200) {
                return id;
            }
            await delay(1_000);
        }
        return undefined;
    }

    async stateOf(id) {
        for (const entry of this.entries) {
            const answer = await this.call(entry.listen.front, "GET", PREFIX + id).catch(() => undefined);
            if (answer !== undefined && answer.status !== 503 && answer.status !== 504) {
                this.record("state", { id, node: entry.node, status: answer.status, ...answer.body });
                return answer.status === 200 ? answer.body.state : String(answer.status);
            }
        }
        return "no answer";
    }

    /** Share of the workers' capacity in use, by the requests of what runs. */
    get usedRatio() {
        const used = this.workers.reduce((sum, worker) => sum + worker.usedCpu, 0);
        const memory = this.workers.reduce((sum, worker) => sum + worker.usedMemory, 0);
        const { workers, cpu, memMb } = this.options;
        return Math.max(used / (workers * cpu), memory / (workers * memMb));
    }

    async stop() {
        const isLive = each => each?.pid !== undefined && each.exitCode === null && each.signalCode === null;
        const live = this.processes.filter(isLive);
        live.forEach(each => each.kill("SIGKILL"));
        await Promise.all(live.map(each => new Promise(resolve => each.once("exit", resolve))));
        this.workers.forEach(worker => worker.close());
        this.store?.close();
        this.agent.destroy();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        } else {
            console.log(`logs: ${this.folder}`);
        }
        await new Promise(resolve => this.output.end(resolve));
    }
}

/** Fills in the settings template: the placeholders that `deploy/settings.yaml` uses. */
function fillIn(template, fields) {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, asJson) => {
        const value = path.split(".").reduce((from, name) => from?.[name], fields);
        return asJson ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

function parse(text) {
    try {
        return JSON.parse(text);
    } catch {
        return {};
    }
}

/**
 * Runs a case and ends this process with its verdict.
 * @param deployment The deployment.
 * @param play Returns the breaches that it has seen.
 */
export async function runCase(deployment, play) {
    let code = NOT_RUN;
    let abort;
    const aborted = new Promise((_, reject) => (abort = reason => reject(new Error(reason))));
    const timer = setTimeout(() => abort("no verdict in time"), LIMIT_MS);
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => abort(signal)));
    try {
        await deployment.start();
        await Promise.race([deployment.untilReady(), aborted]);
        const breaches = await Promise.race([play(), aborted]);
        breaches.forEach(each => deployment.record("RULE BROKEN", each));
        code = breaches.length > 0 ? RULE_BROKEN : RULE_HELD;
        deployment.record(code === RULE_BROKEN ? "verdict: broken" : "verdict: held");
        console.log(code === RULE_BROKEN ? `broken: ${JSON.stringify(breaches[0])}` : "held");
    } catch (error) {
        deployment.record("could not run", { error: error.stack });
        console.log(`could not run: ${error.message}`);
    } finally {
        clearTimeout(timer);
        await deployment.stop();
    }
    process.exit(code);
}
