// A small deployment on loopback: the project's own program on each entry machine, and stand-ins for the platform, the workers and clients.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** Figures of a small deployment, as its page states them. */
export const BOUNDS = {
    seedLagS: 3, reuseAfterS: 2, stableWindowMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 2500, graceS: 6, lossSlackMs: 200,
    configApplyMs: 2500, rollbackSlackMs: 250, maxStretchMs: 6000, recoverS: 12, holdMaxMs: 6000, stopMs: 200, gangMs: 3000,
    cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, crossRackFactor: 3, checkpointIntervalS: 0.5,
    restoreMs: 600, noticeMs: 5500, moveS: 1.5, upkeepS: 2, fencing: true, leaseMs: 3000, thawMs: 300, paceMs: 100, harmMs: 4000,
};

export const QUEUE = { host: "queue.example", prefix: "/jobs/", service: "blason" };

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Fills in the template of the settings as the deployment page describes it; only what the project's template uses. */
function render(template, fields) {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
        const value = path.split(".").reduce((at, name) => at?.[name], fields);
        if (value === undefined || value === null) {
            return isJson ? "null" : "";
        }
        return isJson || typeof value === "object" ? JSON.stringify(value) : String(value);
    });
}

const taken = new Set();

/** @returns A free port below those that the system gives to outgoing connections, so that none takes it before it is used. */
async function freePort() {
    for (;;) {
        const port = 12_000 + Math.floor(Math.random() * 18_000);
        const isFree = await new Promise(resolve => {
            const server = createServer();
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree && !taken.has(port)) {
            taken.add(port);
            return port;
        }
    }
}

export class Site {
    events = [];
    entries = [];
    workers = [];
    store = new Store();
    isEnding = false;

    /** @param folder Folder of the case, for its record. */
    constructor(folder) {
        this.recordFile = join(folder, "record.txt");
        writeFileSync(this.recordFile, "");
        this.temporary = mkdtempSync(join(tmpdir(), "review-"));
        this.startedAt = performance.now();
        this.agent = new Agent({ keepAlive: true });
        process.once("exit", () => this.killAll());
        for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
            process.once(signal, () => process.exit(2));
        }
    }

    /** Time since the start of the script, in ms. */
    now() {
        return Math.round(performance.now() - this.startedAt);
    }

    record(event) {
        const line = { at: this.now(), ...event };
        this.events.push(line);
        appendFileSync(this.recordFile, JSON.stringify(line) + "\n");
        return line;
    }

    /** Starts the store and the workers, then the entries, and waits until all of these are ready. */
    async start({ entries = 3, workers, planOf, routes, version = 1, rejectsOverload = true }) {
        await this.store.listen(await freePort());
        this.putConfig({ version, routes, rejectsOverload });
        for (const fields of workers) {
            fields.port = await freePort();
            const worker = new Worker(
                { service: QUEUE.service, zone: "quimper", labels: ["a", "r1-1"], capacity: { cpu: 64_000, memMb: 256_000 }, holdMaxMs: BOUNDS.holdMaxMs, ...fields },
                this.store, planOf, event => this.record(event), () => this.now(),
            );
            this.workers.push(worker);
            if (!fields.isLater) {
                await worker.start(fields.born);
            }
        }
        for (let number = 1; number <= entries; number++) {
            this.entries.push(await this.createEntry(number));
        }
        this.entries.forEach(entry => this.startEntry(entry));
        const deadline = this.now() + 30_000;
        for (const entry of this.entries) {
            while ((await this.call(entry, "GET", "/api/readyz", { address: entry.ready, quiet: true })).status !== 200) {
                if (this.now() > deadline) {
                    throw new Error("the entries are not ready after 30 s");
                }
                await delay(100);
            }
        }
        this.record({ kind: "ready" });
    }

    putConfig({ version, routes, rejectsOverload = true }) {
        const usual = [{ ...QUEUE, kind: "unsafe", timeoutMs: 10_000, sloMs: 1_000, attempts: 3, priority: 1, stretch: 2 }];
        const config = { version, routes: routes ?? usual, services: [{ name: QUEUE.service, rejectsOverload }], limits: { maxBodyBytes: 262_144 } };
        this.store.put("keyed.op", "config", JSON.stringify(config));
    }

    async createEntry(number) {
        const name = `edge-${number}`;
        const [front, ready, metrics] = [await freePort(), await freePort(), await freePort()];
        const fields = {
            node: name, role: "entry", class: "edge", ip: "127.0.0.1", zone: "quimper", region: "finistere", zones: { quimper: "finistere" },
            listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` }, portRange: [metrics, metrics],
            limits: { cpuShare: 1, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 }, bounds: BOUNDS,
            platform: { addr: this.store.address },
        };
        const settings = join(this.temporary, `${name}.yaml`);
        writeFileSync(settings, render(readFileSync(join(ROOT, "deploy/settings.yaml"), "utf8"), fields));
        return { name, settings, front: fields.listen.front, ready: fields.listen.ready, child: undefined };
    }

    startEntry(entry) {
        const command = /^run = "([^"]+)"/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"))[1];
        const [program, ...words] = command.split(" ");
        const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C", WIGEONSTALL_BOOT: entry.settings };
        const child = spawn(program, words, { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] });
        entry.child = child;
        mkdirSync(this.temporary, { recursive: true });
        const log = join(this.temporary, `${entry.name}.log`);
        child.stdout.on("data", chunk => appendFileSync(log, chunk));
        child.stderr.on("data", chunk => appendFileSync(log, chunk));
        child.on("exit", (code, signal) => {
            if (!this.isEnding) {
                this.record({ kind: "process-ended", entry: entry.name, code, signal });
            }
        });
        this.record({ kind: "process-started", entry: entry.name, pid: child.pid });
    }

    /** Log of an entry: what its process has written. */
    logOf(entry) {
        try {
            return readFileSync(join(this.temporary, `${entry.name}.log`), "utf8");
        } catch {
            return "";
        }
    }

    /** Name of the entry that leads, as the project's own record in the store states it. It is used to inject faults only. */
    leader() {
        const value = this.store.newest("keyed.jobs", "leader");
        return value === undefined ? undefined : this.entries.find(entry => value.includes(`"${entry.name}`));
    }

    /** Sends a call of a client. @returns { status, body }; status 0 if there was no answer. */
    call(entry, method, path, { body, deadlineMs = 3_000, address = entry.front, quiet = false } = {}) {
        return new Promise(resolve => {
            const [host, port] = address.split(":");
            const text = body === undefined ? undefined : JSON.stringify(body);
            const headers = { host: QUEUE.host, "deadline-ms": String(deadlineMs) };
            if (text !== undefined) {
                headers["content-type"] = "application/json";
                headers["content-length"] = Buffer.byteLength(text);
            }
            const sentAt = this.now();
            const finish = (status, answer) => {
                clearTimeout(timer);
                if (!quiet) {
                    this.record({ kind: "client", entry: entry.name, method, path, sentAt, status, answer });
                }
                resolve({ status, body: answer });
            };
            const request = httpRequest({ host, port, method, path, headers, agent: this.agent }, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", () => finish(0));
                response.on("end", () => {
                    let answer;
                    try {
                        answer = JSON.parse(Buffer.concat(chunks).toString("utf8"));
                    } catch {
                        answer = undefined;
                    }
                    finish(response.statusCode, answer);
                });
            });
            const timer = setTimeout(() => request.destroy(), deadlineMs);
            request.on("error", () => finish(0));
            request.end(text);
        });
    }

    /** Hands a job in: again with the same id, at the next entry, until it is accepted. */
    async submit(id, body, first = 0) {
        for (let attempt = 0; attempt < 8; attempt++) {
            const entry = this.entries[(first + attempt) % this.entries.length];
            const { status } = await this.call(entry, "POST", QUEUE.prefix + id, { body });
            if (status >= 200 && status < 300) {
                return true;
            }
            await delay(500);
        }
        return false;
    }

    killAll() {
        this.isEnding = true;
        for (const entry of this.entries) {
            entry.child?.kill("SIGKILL");
        }
    }

    async end() {
        this.killAll();
        await Promise.all(this.entries.map(({ child }) => child === undefined || child.exitCode !== null || child.signalCode !== null
            ? undefined : new Promise(resolve => child.once("close", resolve))));
        this.workers.forEach(worker => worker.close());
        this.store.close();
        this.agent.destroy();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.temporary, { recursive: true, force: true });
        } else {
            console.log(`logs: ${this.temporary}`);
        }
    }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(folder, play) {
    const isTroubled = process.env.TROUBLE !== "0";
    const site = new Site(folder);
    const limit = setTimeout(() => { console.error("over 115 s"); process.exit(2); }, 115_000);
    let code = 2;
    try {
        const breaches = await play(site, isTroubled);
        site.record({ kind: "verdict", breaches });
        console.log(breaches.length === 0 ? "the rule held" : `the rule was broken:\n${breaches.join("\n")}`);
        code = breaches.length === 0 ? 0 : 1;
    } catch (error) {
        console.error(`the case could not run: ${error.stack}`);
    }
    clearTimeout(limit);
    await site.end();
    process.exit(code);
}
