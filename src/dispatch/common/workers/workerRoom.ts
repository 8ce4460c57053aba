import { StepSpec } from "../../../jobs/common/jobSpec";
import { WorkerEntry } from "./workerEntry";

/** What a worker has free. CPU in thousandths of a core, memory in MB. */
export interface WorkerRoom {
    readonly worker: string;
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
}

/** Returns the entry of a worker, if it accepts new tasks. */
export type FindEntry = (worker: string) => WorkerEntry | undefined;

const RESOURCES = ["cpuMillis", "memoryMb", "accelerators"] as const;

/** @param rooms Rooms. @param step A step. @param find Finds their workers. @returns How many of its tasks they have places for. */
export function countPlaces(rooms: readonly WorkerRoom[], step: StepSpec, find: FindEntry): number {
    return rooms.reduce((sum, room) => sum + placesOn(room, step, find), 0);
}

/**
 * Takes what a task needs out of the room that has the most places for it.
 * @param rooms Changed by the call.
 * @param step Step of the task.
 * @param find Finds the workers.
 */
export function takePlace(rooms: readonly WorkerRoom[], step: StepSpec, find: FindEntry): void {
    const places = rooms.map(room => placesOn(room, step, find));
    const most = Math.max(0, ...places);
    if (most > 0) {
        const room = rooms[places.indexOf(most)];
        RESOURCES.forEach(each => (room[each] -= step.request[each]));
    }
}

/**
 * @param rooms Rooms.
 * @param find Finds their workers.
 * @param count How many are returned at most.
 * @returns Those with the largest share of their worker free, of the resource of which they have least: first the largest of the
 * workers of each kind, then the second largest of each, and so on.
 */
export function largestRooms(rooms: readonly WorkerRoom[], find: FindEntry, count: number): WorkerRoom[] {
    const shareOf = (room: WorkerRoom) => {
        const capacity = find(room.worker)?.capacity;
        return Math.min(room.cpuMillis / (capacity?.cpuMillis ?? 1), room.memoryMb / (capacity?.memoryMb ?? 1));
    };
    const shares = new Map(rooms.map(room => [room, shareOf(room)]));
    const free = rooms.filter(room => shares.get(room)! > 0).sort((a, b) => shares.get(b)! - shares.get(a)!);
    const counts = new Map<string, number>();
    const ranks = new Map<WorkerRoom, number>();
    for (const room of free) {
        const kind = kindOf(find(room.worker));
        const rank = counts.get(kind) ?? 0;
        counts.set(kind, rank + 1);
        ranks.set(room, rank);
    }
    return free.sort((a, b) => ranks.get(a)! - ranks.get(b)!).slice(0, count);
}

/** @returns The labels of a worker but for its rack. */
function kindOf(entry: WorkerEntry | undefined): string {
    const labels = entry?.labels.filter(label => label !== entry.rack) ?? [];
    return labels.sort().join();
}

function placesOn(room: WorkerRoom, step: StepSpec, find: FindEntry): number {
    const { request, requiredLabel, maxPerWorker = Number.POSITIVE_INFINITY } = step;
    const labels = find(room.worker)?.labels;
    if (labels === undefined || (requiredLabel !== undefined && !labels.includes(requiredLabel))) {
        return 0;
    }
    const counts = RESOURCES.map(each => (request[each] === 0 ? Infinity : Math.floor(room[each] / request[each])));
    return Math.max(0, Math.min(maxPerWorker, ...counts));
}
