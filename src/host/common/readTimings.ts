import { ReadSlots } from "../../records/common/readSlots";
import { ReadTiming } from "../../records/common/recordFollower";

/** Reads of the stream of jobs on standby. The long poll shows how long the leader has not renewed its record. */
const STANDBY_JOBS_TIMING: ReadTiming = { waitMs: 400, pauseMs: 120 };

/**
 * Reads of the stream of jobs on the leader, which needs new submissions with little delay. A response that stalls is given up
 * only after seconds, in which cancellations would not be known.
 */
const LEADER_JOBS_TIMING: ReadTiming = { waitMs: 400, pauseMs: 25, repeatAfterMs: 900 };

/**
 * Reads of the stream of workers on the leader. Entries are renewed continually, so one read collects several. The wait is
 * short, since a read that is not answered does not show that no worker has announced that it leaves.
 */
const LEADER_WORKERS_TIMING: ReadTiming = { waitMs: 200, pauseMs: 400, repeatAfterMs: 900 };

/** Reads of the stream of workers on standby. A new leader reads it at once. */
const STANDBY_WORKERS_TIMING: ReadTiming = { waitMs: 2_000, pauseMs: 3_000 };

/**
 * Reads of the configuration on standby. It changes rarely; the short wait of each read shows that the store is reachable. Two reads,
 * or a read and a check, take less than the time within which a configuration must be in force, also on an instance that is late.
 */
const STANDBY_OPERATOR_TIMING: ReadTiming = { waitMs: 700, pauseMs: 0, repeatAfterMs: 1_000 };

/** Reads of the configuration on the leader, whose orders to start end before an unknown configuration must be in force. */
const LEADER_OPERATOR_TIMING: ReadTiming = { waitMs: 400, pauseMs: 0, repeatAfterMs: 900 };

/** Interval between two reads of the workers of a large fleet on standby. Heartbeats that are replaced meanwhile are not read. */
const LARGE_FLEET_PERIOD_MS = 9_000;

/**
 * Pause of a leader after a large configuration, as a ratio of the time within which the next one must be in force: its orders get
 * shorter as its view ages.
 */
const LARGE_CONFIGURATION_PAUSE_RATIO = 0.3;

/**
 * Interval between two reads of a large configuration on standby, as a ratio of the same time. All instances read each of them, and
 * those of a region over one link that orders need. The rest of the time is for the check before the read, and the page itself.
 */
const LARGE_CONFIGURATION_PERIOD_RATIO = 0.65;

/** Number of the phases by which the reads of large records are spread over their interval. */
const READ_PHASES = 1_000;

/** Timing of the reads of each stream that an instance follows. */
export interface ReadTimings {
    readonly jobs: () => ReadTiming;
    readonly operator: () => ReadTiming;
    readonly workers: () => ReadTiming;
}

/**
 * @param nonce Number that differs between instances.
 * @param configurationMs Time within which a configuration must be in force, in ms.
 * @param isActive Returns whether the instance leads, or gets ready to.
 * @returns The timing of its reads.
 */
export function createReadTimings(nonce: number, configurationMs: number, isActive: () => boolean): ReadTimings {
    const phase = (nonce % READ_PHASES) / READ_PHASES;
    const standbyWorkers = { ...STANDBY_WORKERS_TIMING, slots: ReadSlots.create(LARGE_FLEET_PERIOD_MS, phase) };
    const largePauseMs = configurationMs * LARGE_CONFIGURATION_PAUSE_RATIO;
    const leaderOperator = { ...LEADER_OPERATOR_TIMING, largePauseMs };
    const slots = ReadSlots.create(configurationMs * LARGE_CONFIGURATION_PERIOD_RATIO, phase);
    const standbyOperator = { ...STANDBY_OPERATOR_TIMING, largePauseMs, slots };
    return {
        jobs: () => (isActive() ? LEADER_JOBS_TIMING : STANDBY_JOBS_TIMING),
        operator: () => (isActive() ? leaderOperator : standbyOperator),
        workers: () => (isActive() ? LEADER_WORKERS_TIMING : standbyWorkers),
    };
}
