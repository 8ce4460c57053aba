import { AddressInfo, createServer } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { Settings, settingsSchema } from "../../serving/common/settings";
import { InstanceProcess } from "../../serving/node/instanceProcess";
import { PlatformServer } from "./platformServer";
import { StandInCluster, StandInClusterOptions } from "./standInCluster";
import { WorkerServer } from "./workerServer";

/** What a local deployment is made of. */
export interface LocalDeploymentOptions extends StandInClusterOptions {
    readonly instances: number;
    readonly shards: number;
    readonly logLevel?: "error" | "info";
    /** Files of the certificate, its key and its authority; without them the instances speak plain HTTP. */
    readonly tls?: Settings["tls"];
}

/** A whole deployment in one process on loopback: the platform, workers and instances. */
export class LocalDeployment implements Disposable {
    readonly instances: InstanceProcess[] = [];
    private readonly addresses: string[] = [];

    private constructor(
        private readonly cluster: StandInCluster,
        private readonly options: LocalDeploymentOptions,
    ) {}

    /** @param options What the deployment is made of. @returns The deployment, running. */
    static async start(options: LocalDeploymentOptions): Promise<LocalDeployment> {
        const deployment = new LocalDeployment(await StandInCluster.start(options), options);
        for (let index = 0; index < options.instances; index++) {
            deployment.addresses.push(`127.0.0.1:${await freePort()}`);
        }
        deployment.publish();
        for (let index = 0; index < options.instances; index++) {
            deployment.instances.push(await InstanceProcess.start(deployment.settings(index)));
        }
        return deployment;
    }

    /** The platform. */
    get platform(): PlatformServer {
        return this.cluster.platform;
    }

    /** The workers. */
    get workers(): readonly WorkerServer[] {
        return this.cluster.workers;
    }

    /** @param index Number of an instance. @returns Scheme, host and port of it. */
    origin(index: number): string {
        return `${this.options.tls === undefined ? "http" : "https"}://${this.addresses[index]}`;
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
            tls: options.tls,
            log: { format: "json", level: options.logLevel ?? "error" },
        });
    }

    /** Puts what runs into the platform's list. @param leaving Names of workers that are leaving. */
    publish(leaving: readonly string[] = []): void {
        this.cluster.publish(this.addresses, leaving);
    }

    /** Ends one instance at once, as a crash would. */
    kill(index: number): void {
        this.instances[index].dispose();
    }

    /** Starts an instance in the place of one that has ended. */
    async replace(index: number): Promise<void> {
        this.instances[index] = await InstanceProcess.start(this.settings(index));
    }

    /** Ends everything at once. */
    dispose(): void {
        this.instances.forEach(each => each.dispose());
        this.cluster.dispose();
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
