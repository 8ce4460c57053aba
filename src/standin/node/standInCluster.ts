import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Disposable } from "../../base/common/disposable";
import { WorkerListing } from "../../services/common/instanceList";
import { SimulatedWorker, WorkerObserver } from "../common/simulatedWorker";
import { Workload } from "../common/workload";
import { PlatformServer } from "./platformServer";
import { WorkerServer } from "./workerServer";

/** Number of workers per rack. */
const WORKERS_PER_RACK = 8;

/** Size and settings of a cluster of stand-ins. */
export interface StandInClusterOptions {
    readonly service: string;
    readonly region: string;
    readonly failureDomains: readonly string[];
    readonly workers: number;
    readonly workload: Workload;
    readonly seed: number;
    /** Port of the platform; any free port if not given. */
    readonly port?: number;
    readonly observer?: WorkerObserver;
}

/** Stand-ins of the platform's services and of workers, in one process on loopback. */
export class StandInCluster implements Disposable {
    readonly workers: WorkerServer[] = [];

    private constructor(
        readonly platform: PlatformServer,
        private readonly options: StandInClusterOptions,
    ) {}

    /** @param options Size and settings. @returns The running cluster, with nothing registered in service discovery yet. */
    static async start(options: StandInClusterOptions): Promise<StandInCluster> {
        const cluster = new StandInCluster(await PlatformServer.start(options.port), options);
        const generator = xoroshiro128plus(options.seed);
        const random = () => uniformFloat64(generator);
        for (let index = 0; index < options.workers; index++) {
            const worker = SimulatedWorker.create(`worker-${index}`, options.workload, random, options.observer);
            cluster.workers.push(await WorkerServer.start(worker, options.service));
        }
        return cluster;
    }

    /**
     * Registers all workers and the given instances in service discovery.
     * @param addresses Addresses of the instances.
     * @param leaving Names of workers that are leaving.
     */
    publish(addresses: readonly string[], leaving: readonly string[] = []): void {
        const { region } = this.options;
        this.platform.setListing({
            workers: this.workers.map((each, index) => this.workerListing(each, index, leaving)),
            entries: addresses.map(address => ({ address, region, availability: "live" })),
        });
    }

    /** Ends the workers and the platform. */
    dispose(): void {
        this.workers.forEach(each => each.dispose());
        this.platform.dispose();
    }

    private workerListing(server: WorkerServer, index: number, leaving: readonly string[]): WorkerListing {
        const { failureDomains, region, service } = this.options;
        return {
            id: server.worker.name,
            address: server.address,
            region,
            failureDomain: failureDomains[index % failureDomains.length],
            rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
            availability: leaving.includes(server.worker.name) ? "leaving" : "live",
            capacity: { slots: 8, connections: 64, cpus: 64, memoryGb: 250, accelerators: 0 },
            services: [service],
        };
    }
}
