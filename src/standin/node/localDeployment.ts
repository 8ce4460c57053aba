import { AddressInfo, createServer } from "node:net";
import { Disposable } from "../../base/common/disposable";
import { Settings, settingsSchema } from "../../serving/common/settings";
import { InstanceProcess } from "../../serving/node/instanceProcess";
import { PlatformServer } from "./platformServer";
import { StandInCluster, StandInClusterOptions } from "./standInCluster";
import { WorkerServer } from "./workerServer";

/** Size and settings of a local deployment. */
export interface LocalDeploymentOptions extends StandInClusterOptions {
    readonly instances: number;
    readonly shards: number;
    readonly logLevel?: "error" | "info";
    /** Files of the certificate, its key and its authority; if not given, the instances use plain HTTP. */
    readonly tls?: Settings["tls"];
    /** Loopback address of the instances; if not given, one that no other process uses. */
    readonly host?: string;
}

/** A complete deployment in one process on loopback: simulated platform and workers, and real instances. */
export class LocalDeployment implements Disposable {
    readonly instances: InstanceProcess[] = [];
    private readonly addresses: string[] = [];

    private constructor(
        private readonly cluster: StandInCluster,
        private readonly options: LocalDeploymentOptions,
    ) {}

    /** @param options Size and settings. @returns The running deployment. */
    static async start(options: LocalDeploymentOptions): Promise<LocalDeployment> {
        const deployment = new LocalDeployment(await StandInCluster.start(options), options);
        const host = options.host ?? ownLoopbackHost();
        for (const port of await findFreePorts(host, options.instances)) {
            deployment.addresses.push(`${host}:${port}`);
        }
        deployment.publish();
        for (let index = 0; index < options.instances; index++) {
            deployment.instances.push(await InstanceProcess.start(deployment.settings(index)));
        }
        return deployment;
    }

    /** The platform's services. */
    get platform(): PlatformServer {
        return this.cluster.platform;
    }

    get workers(): readonly WorkerServer[] {
        return this.cluster.workers;
    }

    /** @param index Index of an instance. @returns Its scheme, host and port. */
    origin(index: number): string {
        return `${this.options.tls === undefined ? "http" : "https"}://${this.addresses[index]}`;
    }

    /** @param index Index of an instance. @returns Its settings. */
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

    /** Registers all workers and instances in service discovery. @param leaving Names of workers that are leaving. */
    publish(leaving: readonly string[] = []): void {
        this.cluster.publish(this.addresses, leaving);
    }

    /** Ends an instance without a planned stop, as a crash does. @param index Index of the instance. */
    kill(index: number): void {
        this.instances[index].dispose();
    }

    /** Starts a new instance with the settings and the address of an ended one. @param index Index of the instance. */
    async replace(index: number): Promise<void> {
        this.instances[index] = await InstanceProcess.start(this.settings(index));
    }

    /** Ends all instances, workers and the platform without a planned stop. */
    dispose(): void {
        this.instances.forEach(each => each.dispose());
        this.cluster.dispose();
    }
}

/**
 * @returns A loopback address that no other process on this machine uses, derived from the process id. Ports found free
 * there are not given to other processes, which listen on 127.0.0.1 or on their own address.
 */
function ownLoopbackHost(): string {
    const { pid } = process;
    return `127.${1 + ((pid >> 16) & 0x7f)}.${(pid >> 8) & 0xff}.${pid & 0xff}`;
}

/** @param host A loopback address. @param count Number of ports. @returns Different ports that are free there. */
async function findFreePorts(host: string, count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer());
    // All are open at the same time, so that the ports differ.
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, host, resolve))));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.close(() => resolve()))));
    return ports;
}
