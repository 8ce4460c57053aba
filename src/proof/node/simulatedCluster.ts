import { Capacity, InstanceListing, WorkerListing } from "../../services/common/instanceList";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipManager";
import { MemoryLog } from "../../standin/common/memoryLog";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";
import { Workload } from "../../standin/common/workload";
import { SimulatedInstance } from "./simulatedInstance";
import { Network } from "./network";
import { Random } from "./random";
import { ExecutionChecker } from "./executionChecker";

/** Capacity of each worker of a trial. */
export const WORKER_CAPACITY: Capacity = { slots: 8, connections: 64, cpus: 32, memoryGb: 64, accelerators: 2 };

/** Resources of one slot of the trial's service. */
export const SERVICE_SLOT = { cpus: 2, memoryGb: 4 };

/** The service of a trial. */
export const SERVICE = "quotes";

/** Two regions, as in each supported deployment. */
export const REGIONS = ["north", "south"] as const;

const FAILURE_DOMAINS = { north: ["north-a", "north-b"], south: ["south-a"] } as const;

/** Size of a simulated cluster. */
export interface ClusterSize {
    readonly nodes: number;
    readonly workers: number;
    readonly shardsPerRegion: number;
    /** Number of records that a stream of the log keeps. */
    readonly retention: number;
    /** Whether no message is very slow and no attempt of a request fails without an injected fault. */
    readonly isReliable?: boolean;
}

/** The instances of a trial with their log, workers, service discovery and network. */
export class SimulatedCluster {
    readonly log = MemoryLog.create();
    readonly workers = new Map<string, SimulatedWorker>();
    readonly network: Network;
    readonly plan: readonly ShardPlan[];
    nodes: SimulatedInstance[] = [];
    listing: InstanceListing = { workers: [], entries: [] };
    listingVersion = 0;
    private readonly leavingWorkers = new Set<string>();
    private incarnationCount = 0;

    private constructor(
        size: ClusterSize,
        workload: Workload,
        readonly random: Random,
        readonly checker: ExecutionChecker,
    ) {
        this.network = Network.create(random, size.isReliable === true);
        this.log.faults.retention = size.retention;
        this.plan = REGIONS.flatMap(region =>
            Array.from({ length: size.shardsPerRegion }, (_, index) => ({ name: `${region}-${index}`, region })),
        );
        for (let index = 0; index < size.workers; index++) {
            const name = `worker-${index}`;
            this.workers.set(
                name,
                SimulatedWorker.create(name, workload, () => random.fraction(), checker),
            );
        }
        checker.setWorkers(this.workers);
        for (let index = 0; index < size.nodes; index++) {
            this.addNode(index);
        }
        this.publishListing();
    }

    /** @returns A running cluster without faults. */
    static create(size: ClusterSize, workload: Workload, random: Random, checker: ExecutionChecker): SimulatedCluster {
        return new SimulatedCluster(size, workload, random, checker);
    }

    /** Instances that have neither crashed nor stopped. */
    get liveNodes(): SimulatedInstance[] {
        return this.nodes.filter(node => !node.isStopped);
    }

    /** @param address Address of an instance. @returns The running instance with this address, if any. */
    nodeAt(address: string): SimulatedInstance | undefined {
        return this.liveNodes.find(node => node.identity.address === address);
    }

    /** Starts an instance. @param index Index of its node; a new incarnation replaces the previous one. */
    addNode(index: number): void {
        this.incarnationCount += 1;
        const region = REGIONS[index % REGIONS.length];
        const identity: InstanceIdentity = {
            instance: `node-${index}.${this.incarnationCount}`,
            address: `node-${index}:1`,
            region,
            failureDomain: FAILURE_DOMAINS[region][0],
        };
        this.nodes[index] = SimulatedInstance.create(identity, this.plan, this);
    }

    /** Sets whether service discovery lists a worker as leaving or as live. */
    setWorkerLeaving(worker: string, isLeaving: boolean): void {
        if (isLeaving) {
            this.leavingWorkers.add(worker);
            this.checker.onWorkerLeaving(worker);
        } else {
            this.leavingWorkers.delete(worker);
            this.checker.onWorkerStaying(worker);
        }
        this.publishListing();
    }

    /** @param worker Name of a worker. @returns Its region. */
    regionOf(worker: string): string {
        return REGIONS[Number(worker.split("-")[1]) % REGIONS.length];
    }

    /** Advances all workers to the current virtual time. */
    advanceWorkers(): void {
        this.workers.forEach(worker => worker.updateAttempts());
    }

    private publishListing(): void {
        this.listingVersion += 1;
        this.listing = {
            workers: [...this.workers.keys()].map(name => this.createListing(name)),
            entries: this.nodes.map(({ identity: { address, region } }) => ({ address, region, availability: "live" })),
        };
    }

    private createListing(id: string): WorkerListing {
        const region = this.regionOf(id);
        const domains = FAILURE_DOMAINS[region as (typeof REGIONS)[number]];
        return {
            id,
            address: `${id}:1`,
            region,
            failureDomain: domains[Number(id.split("-")[1]) % domains.length],
            rack: `${region}-rack`,
            availability: this.leavingWorkers.has(id) ? "leaving" : "live",
            capacity: WORKER_CAPACITY,
            services: [SERVICE],
        };
    }
}
