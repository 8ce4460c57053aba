import { StepSpec } from "../../../jobs/common/jobSpec";
import { FreeCapacity, WorkerContact } from "../workers/workerContact";

/** Returns what a worker has left for further tasks of a pass. */
export type CapacityOf = (worker: WorkerContact) => FreeCapacity;

/** What a worker has left after the tasks that were counted in so far. */
interface Room {
    readonly worker: WorkerContact;
    cpuMillis: number;
    unrequestedCpuMillis: number;
    memoryMb: number;
    accelerators: number;
}

/** Room of the usable workers of one service by rack, for one pass. */
export class RackRooms {
    private readonly byRack = new Map<string, Room[]>();

    private constructor() {}

    /**
     * @param workers Usable workers of a service.
     * @param capacityOf Returns what a worker has left.
     * @returns The room on their racks.
     */
    static create(workers: Iterable<WorkerContact>, capacityOf: CapacityOf): RackRooms {
        const rooms = new RackRooms();
        for (const worker of workers) {
            const { rack } = worker.entry;
            const known = rooms.byRack.get(rack) ?? [];
            known.push({ worker, ...capacityOf(worker) });
            rooms.byRack.set(rack, known);
        }
        return rooms;
    }

    /** The racks with usable workers. */
    get racks(): Iterable<string> {
        return this.byRack.keys();
    }

    /** @returns Whether a rack has a worker on which tasks of a step could run, however full it is. */
    hasWorkerFor(rack: string, { request, requiredLabel }: StepSpec): boolean {
        const rooms = this.byRack.get(rack) ?? [];
        return rooms.some(({ worker }) => {
            const { cpuMillis, memoryMb, accelerators } = worker.entry.capacity;
            const fits = request.cpuMillis <= cpuMillis && request.memoryMb <= memoryMb;
            return fits && request.accelerators <= accelerators && worker.hasLabel(requiredLabel);
        });
    }

    /** @returns How many tasks of a step a rack has room for, up to a number. */
    countPlaces(rack: string, step: StepSpec, most: number): number {
        let places = 0;
        for (const room of this.byRack.get(rack) ?? []) {
            if (places >= most) {
                break;
            }
            places += placesOn(room, step);
        }
        return Math.min(most, places);
    }

    /** Takes the room of some tasks of a step. @returns The number of tasks for which there was room. */
    take(rack: string, step: StepSpec, count: number): number {
        let left = count;
        for (const room of this.byRack.get(rack) ?? []) {
            const taken = Math.min(left, placesOn(room, step));
            const { cpuMillis, memoryMb, accelerators } = step.request;
            room.cpuMillis -= step.usesSpareCpu ? 0 : taken * cpuMillis;
            room.unrequestedCpuMillis -= taken * cpuMillis;
            room.memoryMb -= taken * memoryMb;
            room.accelerators -= taken * accelerators;
            left -= taken;
        }
        return count - left;
    }
}

/** Best-effort tasks share what is left over, so they count as if they reserved the CPU that they request. */
function placesOn(room: Room, { request, requiredLabel, usesSpareCpu, maxPerWorker }: StepSpec): number {
    if (!room.worker.hasLabel(requiredLabel)) {
        return 0;
    }
    const cpuMillis = usesSpareCpu ? room.unrequestedCpuMillis : room.cpuMillis;
    const counts = [
        maxPerWorker ?? Number.POSITIVE_INFINITY,
        cpuMillis / Math.max(1, request.cpuMillis),
        room.memoryMb / Math.max(1, request.memoryMb),
        request.accelerators === 0 ? Number.POSITIVE_INFINITY : room.accelerators / request.accelerators,
    ];
    return Math.max(0, Math.floor(Math.min(...counts)));
}
