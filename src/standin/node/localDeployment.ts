import { createServer } from "node:net";
import { AddressInfo } from "node:net";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Disposable } from "../../base/common/disposable";
import { WorkerListing } from "../../platform/common/instanceList";
import { Settings, settingsSchema } from "../../serving/common/settings";
import { InstanceProcess } from "../../serving/node/instanceProcess";
import { SimulatedWorker, WorkerObserver } from "../common/simulatedWorker";
import { Workload } from "../common/workload";
import { PlatformServer } from "./platformServer";
import { WorkerServer } from "./workerServer";

/** Workers of one rack. */
const RACK_SIZE = 8;

/** What a local deployment is made of. */
export interface LocalDeploymentOptions {
    readonly service: string;
    readonly region: string;
    readonly failureDomains: readonly string[];
    readonly workers: number;
    readonly instances: number;
    readonly shards: number;
    readonly workload: Workload;
    readonly seed: number;
    readonly observer?: WorkerObserver;
    readonly logLevel?: "error" | "info";
}

/** A whole deployment in one process on loopback: the platform, workers and instances. */
export class LocalDeployment implements Disposable {
    readonly workers: WorkerServer[] = [];
    readonly instances: InstanceProcess[] = [];
    private readonly addresses: string[] = [];

    private constructor(
        readonly platform: PlatformServer,
        private readonly options: LocalDeploymentOptions,
    ) {}

    /** @param options What the deployment is made of. @returns The deployment, running. */
    static async start(options: LocalDeploymentOptions): Promise<LocalDeployment> {
        const deployment = new LocalDeployment(await PlatformServer.start(), options);
        await deployment.startWorkers();
        for (let index = 0; index < options.instances; index++) {
            deployment.addresses.push(`127.0.0.1:${await freePort()}`);
        }
        deployment.publish();
        for (let index = 0; index < options.instances; index++) {
            deployment.instances.push(await InstanceProcess.start(deployment.settings(index)));
        }
        return deployment;
    }

    /** @param index Number of an instance. @returns Scheme, host and port of it. */
    origin(index: number): string {
        return `http://${this.addresses[index]}`;
    }

    /** @param index Number of an instance. @returns Its settings. */
    settings(index: number): Settings {
        const { options, platform } = this;
        return settingsSchema.parse({
            instance: `entry-${index}`,
            region: options.region,
            failureDomain: options.failureDomains[index % options.failureDomains.length],
            listen: this.addresses[index],
            platform: { log: platform.origin, instances: platform.origin },
            shards: { [options.region]: options.shards },
            log: { format: "json", level: options.logLevel ?? "error" },
        });
    }

    /** Puts what runs into the platform's list. @param leaving Names of workers that are leaving. */
    publish(leaving: readonly string[] = []): void {
        const { region } = this.options;
        this.platform.list({
            workers: this.workers.map((each, index) => this.listing(each, index, leaving)),
            entries: this.addresses.map(address => ({ address, region, availability: "live" })),
        });
    }

    /** Ends one instance at once, as a crash would. */
    kill(index: number): void {
        this.instances[index].dispose();
    }

    /** Ends everything at once. */
    dispose(): void {
        this.instances.forEach(each => each.dispose());
        this.workers.forEach(each => each.dispose());
        this.platform.dispose();
    }

    private async startWorkers(): Promise<void> {
        const { options } = this;
        const generator = xoroshiro128plus(options.seed);
        const random = () => uniformFloat64(generator);
        for (let index = 0; index < options.workers; index++) {
            const worker = SimulatedWorker.create(`worker-${index}`, options.workload, random, options.observer);
            this.workers.push(await WorkerServer.start(worker, options.service));
        }
    }

    private listing(server: WorkerServer, index: number, leaving: readonly string[]): WorkerListing {
        const { failureDomains, region, service } = this.options;
        return {
            id: server.worker.name,
            address: server.address,
            region,
            failureDomain: failureDomains[index % failureDomains.length],
            rack: `rack-${Math.floor(index / RACK_SIZE)}`,
            availability: leaving.includes(server.worker.name) ? "leaving" : "live",
            capacity: { slots: 8, connections: 64, cpus: 64, memoryGb: 250, accelerators: 0 },
            services: [service],
        };
    }
}

/** @returns A port of loopback that was free a moment ago. */
export async function freePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise<void>(resolve => server.close(() => resolve()));
    return port;
}
