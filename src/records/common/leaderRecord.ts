/** Key of the record that names the leader. */
export const LEADER_KEY = "leader";

/** Claim, renewal or resignation of leadership. */
export interface LeaderRecord {
    /** Increases with each claim. Workers reject orders of lower epochs. */
    readonly epoch: number;
    readonly instance: string;
    /** Host of the instance, whose next incarnation shows that this one has ended. Earlier versions leave it out. */
    readonly host?: string;
    /** CPU available to the instance, in cores. */
    readonly cores: number;
    /** Whether the leader gives up leadership. */
    readonly resigned?: boolean;
    /**
     * Epoch since which all leaders extend leases by the age of their latest renewal, and not while a record says that they
     * do not. Earlier versions do neither and leave it out.
     */
    readonly leasesSince?: number;
    /** Whether the leader takes over from another one, so that renewals may be late. Earlier versions leave it out. */
    readonly takingOver?: boolean;
    /** Whether renewals state by when leases end, in records of their own. Earlier versions leave it out. */
    readonly statesLeases?: boolean;
    /** By how much the renewal is late, in ms; left out by earlier versions, and by a leader that is on time. */
    readonly lateMs?: number;
    /** Instance that the leader hands over to; left out by earlier versions, and while there is no handover. */
    readonly successor?: string;
    /** Whether the leader hands over by itself to an instance that suits better, so that others need not replace it. */
    readonly handsOver?: boolean;
}

/** @param value Value of a stored record. @returns The leader's record, or `undefined` if the value is malformed. */
export function decodeLeader(value: string): LeaderRecord | undefined {
    try {
        const record = JSON.parse(value) as LeaderRecord;
        const isLeader = Number.isSafeInteger(record.epoch) && typeof record.instance === "string";
        const leasesSince = Number.isSafeInteger(record.leasesSince) ? record.leasesSince : undefined;
        const takingOver = record.takingOver === true ? true : undefined;
        const lateMs = Number.isFinite(record.lateMs) && record.lateMs! > 0 ? record.lateMs : undefined;
        const host = typeof record.host === "string" ? record.host : undefined;
        const statesLeases = record.statesLeases === true ? true : undefined;
        const successor = typeof record.successor === "string" ? record.successor : undefined;
        const handsOver = record.handsOver === true ? true : undefined;
        const optional = { host, leasesSince, takingOver, lateMs, statesLeases, successor, handsOver };
        return isLeader ? { ...record, cores: record.cores ?? 0, ...optional } : undefined;
    } catch {
        return undefined;
    }
}
