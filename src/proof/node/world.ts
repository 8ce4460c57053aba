import { Capacity, Listing, WorkerListing } from "../../services/common/instanceList";
import { InstanceIdentity, ShardPlan } from "../../coordination/common/ownershipKeeper";
import { MemoryLog } from "../../standin/common/memoryLog";
import { SimulatedWorker } from "../../standin/common/simulatedWorker";
import { Workload } from "../../standin/common/workload";
import { FakeNode } from "./fakeNode";
import { Network } from "./network";
import { Random } from "./random";
import { Witness } from "./witness";

/** Capacity of every worker of a trial. */
export const WORKER_CAPACITY: Capacity = { slots: 8, connections: 64, cpus: 32, memoryGb: 64, accelerators: 2 };

/** What one slot of the trial's service takes. */
export const SERVICE_SLOT = { cpus: 2, memoryGb: 4 };

/** The service of a trial. */
export const SERVICE = "quotes";

/** Two regions, as each deployment of the brief has. */
export const REGIONS = ["north", "south"] as const;

const FAILURE_DOMAINS = { north: ["north-a", "north-b"], south: ["south-a"] } as const;

/** How large a trial is. */
export interface WorldSize {
    readonly nodes: number;
    readonly workers: number;
    readonly shardsPerRegion: number;
    /** Records that a stream of the log keeps. */
    readonly retention: number;
    /** Whether no message is very slow and no attempt of a request goes wrong by itself. */
    readonly isSound?: boolean;
}

/** Everything around the instances of a trial: the log, the workers, the list and the network. */
export class World {
    readonly log = MemoryLog.create();
    readonly workers = new Map<string, SimulatedWorker>();
    readonly network: Network;
    readonly plan: readonly ShardPlan[];
    nodes: FakeNode[] = [];
    listing: Listing = { workers: [], entries: [] };
    listVersion = 0;
    private readonly leaving = new Set<string>();
    private incarnations = 0;

    private constructor(
        size: WorldSize,
        workload: Workload,
        readonly random: Random,
        readonly witness: Witness,
    ) {
        this.network = Network.create(random, size.isSound === true);
        this.log.faults.retention = size.retention;
        this.plan = REGIONS.flatMap(region =>
            Array.from({ length: size.shardsPerRegion }, (_, index) => ({ name: `${region}-${index}`, region })),
        );
        for (let index = 0; index < size.workers; index++) {
            const name = `worker-${index}`;
            this.workers.set(
                name,
                SimulatedWorker.create(name, workload, () => random.fraction(), witness),
            );
        }
        witness.watch(this.workers);
        for (let index = 0; index < size.nodes; index++) {
            this.addNode(index);
        }
        this.publish();
    }

    /** @returns A running world without faults. */
    static create(size: WorldSize, workload: Workload, random: Random, witness: Witness): World {
        return new World(size, workload, random, witness);
    }

    /** Instances that run. */
    get alive(): FakeNode[] {
        return this.nodes.filter(node => !node.isDead);
    }

    /** @param address Address of an instance. @returns The instance that has it, if it runs. */
    nodeAt(address: string): FakeNode | undefined {
        return this.alive.find(node => node.identity.address === address);
    }

    /** @param index Place of the instance; a new incarnation takes the place of the one before. */
    addNode(index: number): void {
        this.incarnations += 1;
        const region = REGIONS[index % REGIONS.length];
        const identity: InstanceIdentity = {
            instance: `node-${index}.${this.incarnations}`,
            address: `node-${index}:1`,
            region,
            failureDomain: FAILURE_DOMAINS[region][0],
        };
        this.nodes[index] = FakeNode.create(identity, this.plan, this);
    }

    /** Lets the platform list a worker as leaving, or as live again. */
    setLeaving(worker: string, leaving: boolean): void {
        if (leaving) {
            this.leaving.add(worker);
            this.witness.leaving(worker);
        } else {
            this.leaving.delete(worker);
            this.witness.staying(worker);
        }
        this.publish();
    }

    /** @param worker Name of a worker. @returns Region of it. */
    regionOf(worker: string): string {
        return REGIONS[Number(worker.split("-")[1]) % REGIONS.length];
    }

    /** Brings all workers up to the present moment. */
    advanceWorkers(): void {
        this.workers.forEach(worker => worker.advance());
    }

    private publish(): void {
        this.listVersion += 1;
        this.listing = {
            workers: [...this.workers.keys()].map(name => this.listWorker(name)),
            entries: this.nodes.map(({ identity: { address, region } }) => ({ address, region, availability: "live" })),
        };
    }

    private listWorker(id: string): WorkerListing {
        const region = this.regionOf(id);
        const domains = FAILURE_DOMAINS[region as (typeof REGIONS)[number]];
        return {
            id,
            address: `${id}:1`,
            region,
            failureDomain: domains[Number(id.split("-")[1]) % domains.length],
            rack: `${region}-rack`,
            availability: this.leaving.has(id) ? "leaving" : "live",
            capacity: WORKER_CAPACITY,
            services: [SERVICE],
        };
    }
}
