import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { AddressInfo, createServer, Server } from "node:net";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../../src/proof/node/random";
import { BOUNDS, MAX_ATTEMPTS, WORKER_CAPACITY } from "../common/bounds";
import { SiteSize } from "../common/faultPlan";
import { SoakJob, SoakObservation } from "../common/soakEvent";
import { QUEUE, sendCall } from "./caller";
import { EntryProcess } from "./entryProcess";
import { LinkProxy } from "./linkProxy";
import { StoreServer } from "./storeServer";
import { TaskPlan, WorkerServer } from "./workerServer";

const SERVICE = "huvo11a";

/** Time in which all entries have to be ready after their start, in ms. */
const MAX_START_MS = 30_000;
const READY_POLL_MS = 100;

/** Ports of an entry: for callers, for readiness and for metrics. */
const PORTS_PER_ENTRY = 3;

const TEMPLATE_FILE = "deploy/settings.yaml";

/** Limits of the machine of each entry, and of a body. */
export interface SiteLimits {
    readonly memoryMb: number;
    readonly maxFds: number;
    readonly maxBodyBytes: number;
}

const DEFAULT_LIMITS: SiteLimits = { memoryMb: 350, maxFds: 4_100, maxBodyBytes: 262_144 };

/** What a site needs to start. */
export interface SoakSiteOptions {
    readonly size: SiteSize;
    /** Folder of the settings and the logs. */
    readonly folder: string;
    readonly random: Random;
    readonly limits?: SiteLimits;
    readonly jobs: ReadonlyMap<string, SoakJob>;
    readonly planTask: (task: string, run: number) => TaskPlan;
    /** Crashes a worker, as a task has done, and lets it return. */
    readonly crashWorker: (worker: number) => void;
    readonly observe: (observation: SoakObservation) => void;
}

/** The processes of the entries, and the store, the workers and the links between them on loopback. */
export class SoakSite {
    readonly entries: EntryProcess[] = [];
    readonly workers: WorkerServer[] = [];
    /** Link of each entry to the store. */
    readonly storeLinks: LinkProxy[] = [];
    /** Link of all callers to each entry. */
    readonly callerLinks: LinkProxy[] = [];
    /** Link of all entries to each worker. */
    readonly workerLinks: LinkProxy[] = [];
    private latestLeader = 0;

    private constructor(
        readonly store: StoreServer,
        private readonly host: string,
        private readonly options: SoakSiteOptions,
    ) {}

    /** @param options Size, folder and observers. @returns The site, when all entries are ready. */
    static async start(options: SoakSiteOptions): Promise<SoakSite> {
        const host = ownLoopbackHost();
        mkdirSync(options.folder, { recursive: true });
        const site = new SoakSite(await StoreServer.start(host, options.random), host, options);
        try {
            site.putConfiguration();
            await site.startWorkers();
            await site.createEntries();
            site.entries.forEach(each => each.start());
            await site.untilReady();
        } catch (error) {
            await site.dispose();
            throw error;
        }
        return site;
    }

    /** The entry that began to lead last. */
    get leader(): EntryProcess {
        return this.entries[this.latestLeader];
    }

    /** Records that an entry leads. @param node Its name. */
    recordLeader(node: string): void {
        this.latestLeader = Math.max(
            0,
            this.entries.findIndex(each => each.node === node),
        );
    }

    /** Names of the entries without a running process. */
    get away(): string[] {
        return this.entries.filter(each => each.state !== "running").map(each => each.node);
    }

    /** @returns An ID that no worker has had. */
    createWorkerId(): string {
        return `i-${this.options.random.between(1, 0x7fffffff).toString(16)}`;
    }

    /** Ends all processes and servers. */
    async dispose(): Promise<void> {
        await Promise.all(this.entries.map(each => each.dispose()));
        this.workers.forEach(each => each.dispose());
        [...this.storeLinks, ...this.callerLinks, ...this.workerLinks].forEach(each => each.dispose());
        this.store.dispose();
    }

    private get limits(): SiteLimits {
        return this.options.limits ?? DEFAULT_LIMITS;
    }

    private putConfiguration(): void {
        const queue = { host: QUEUE.host, prefix: QUEUE.prefix, kind: "unsafe", timeoutMs: 3_000, sloMs: 500 };
        this.store.put("keyed.op", "config", {
            version: 1,
            routes: [{ name: "r-1", ...queue, service: SERVICE, attempts: MAX_ATTEMPTS, stretch: 1.5 }],
            services: [{ name: SERVICE, healthPath: "/healthz", rejectsOverload: false }],
            limits: { maxBodyBytes: this.limits.maxBodyBytes },
        });
    }

    private async startWorkers(): Promise<void> {
        const { size } = this.options;
        const context = { ...this.options, host: this.host, service: SERVICE, store: this.store };
        for (let number = 0; number < size.workers; number++) {
            const worker = await WorkerServer.start(number, WORKER_CAPACITY, context);
            const link = await LinkProxy.start(this.host, worker.port);
            worker.address = link.address;
            worker.begin(this.createWorkerId());
            this.workers.push(worker);
            this.workerLinks.push(link);
        }
    }

    private async createEntries(): Promise<void> {
        const { size, folder, observe } = this.options;
        const { ports, release } = await reservePorts(this.host, size.entries * PORTS_PER_ENTRY);
        for (let number = 0; number < size.entries; number++) {
            const [front, ready, metrics] = ports.slice(number * PORTS_PER_ENTRY);
            const link = await LinkProxy.start(this.host, this.store.port);
            this.storeLinks.push(link);
            this.callerLinks.push(await LinkProxy.start(this.host, front));
            const node = `edge-quimper-${number + 1}`;
            const listen = { front: `${this.host}:${front}`, ready: `${this.host}:${ready}` };
            const addresses = { ...listen, metrics: `${this.host}:${metrics}` };
            const { memoryMb, maxFds } = this.limits;
            const settingsFile = join(folder, `${node}.yaml`);
            const fields = {
                node,
                ip: this.host,
                zone: "quimper",
                region: "finistere",
                zones: { quimper: "finistere" },
                listen,
                portRange: [metrics, metrics],
                limits: { cpuShare: 0.27, cores: 1, memoryMb, maxFds },
                platform: { addr: link.address },
                bounds: BOUNDS,
            };
            writeFileSync(settingsFile, fillIn(readFileSync(TEMPLATE_FILE, "utf8"), fields));
            const logFile = join(folder, `${node}.log`);
            this.entries.push(EntryProcess.create({ node, addresses, settingsFile, logFile, observe }));
        }
        await release();
    }

    private async untilReady(): Promise<void> {
        const agent = new Agent();
        const deadline = performance.now() + MAX_START_MS;
        for (const entry of this.entries) {
            while ((await sendCall(agent, entry.addresses.ready, "GET", "/api/readyz"))?.status !== 200) {
                if (performance.now() > deadline) {
                    throw new Error(`${entry.node} is not ready after ${MAX_START_MS} ms`);
                }
                await delay(READY_POLL_MS);
            }
        }
    }
}

/**
 * @returns A loopback address derived from the process id, so that soaks that run at the same time do not use the same
 * ports, and outgoing connections of other processes, which have the address 127.0.0.1, do not take those of an entry that is down.
 */
function ownLoopbackHost(): string {
    const { pid } = process;
    return `127.${128 + ((pid >> 16) & 0x3f)}.${(pid >> 8) & 0xff}.${pid & 0xff || 1}`;
}

/**
 * @param host A loopback address.
 * @param count Number of ports.
 * @returns Different ports that are free there, and are reserved until they are released.
 */
async function reservePorts(
    host: string,
    count: number,
): Promise<{ ports: number[]; release: () => Promise<unknown> }> {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, host, resolve))));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    const close = (server: Server) => new Promise<void>(resolve => server.close(() => resolve()));
    return { ports, release: () => Promise.all(servers.map(close)) };
}

/** Fills in the placeholders of the settings template: `{{path}}`, empty without a value, and `{{path|json}}` for JSON. */
function fillIn(template: string, fields: object): string {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json: string | undefined) => {
        const value = path
            .split(".")
            .reduce<unknown>((from, name) => (from as Record<string, unknown> | undefined)?.[name], fields);
        return json === undefined ? String((value as string | number | undefined) ?? "") : JSON.stringify(value);
    });
}
