/** What the workers of a service have, and what is in use of it. CPU in thousandths of a core, memory in MB. */
export interface ServiceLoad {
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
    /** CPU that is reserved by runs. */
    usedCpuMillis: number;
    usedMemoryMb: number;
    usedAccelerators: number;
    /** Memory of throttled runs, each by how far it is throttled. */
    idleMemoryMb: number;
    /** CPU that best-effort runs request. */
    spareCpuMillis: number;
    /** CPU that waiting tasks request with a reservation. */
    waitingCpuMillis: number;
    /** CPU that waiting best-effort tasks request. */
    waitingSpareCpuMillis: number;
    /** Memory and accelerators that waiting tasks request. */
    waitingMemoryMb: number;
    waitingAccelerators: number;
}

/** @returns A load without workers, runs and waiting tasks. */
export function emptyLoad(): ServiceLoad {
    return {
        cpuMillis: 0,
        memoryMb: 0,
        accelerators: 0,
        usedCpuMillis: 0,
        usedMemoryMb: 0,
        usedAccelerators: 0,
        idleMemoryMb: 0,
        spareCpuMillis: 0,
        waitingCpuMillis: 0,
        waitingSpareCpuMillis: 0,
        waitingMemoryMb: 0,
        waitingAccelerators: 0,
    };
}

/** Adds a load to a sum. @param sum Changed by the call. @param load What is added. */
export function addLoad(sum: ServiceLoad, load: ServiceLoad): void {
    (Object.keys(sum) as (keyof ServiceLoad)[]).forEach(key => (sum[key] += load[key]));
}

/** @param used What is in use. @param capacity What there is. @returns The share in use, in percent. */
export function percentOf(used: number, capacity: number): number {
    return Math.round((100 * used) / Math.max(1, capacity));
}
