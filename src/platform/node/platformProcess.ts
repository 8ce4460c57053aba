import { randomBytes, randomInt } from "node:crypto";
import { TrafficMeter } from "../../base/common/trafficMeter";
import { WorkClock } from "../../base/node/workClock";
import { RequestKind } from "../../dispatch/common/placement/requestKind";
import { JobInstance } from "../../host/common/jobInstance";
import { JobSettings } from "../../host/common/jobSettings";
import { loadOrderOf } from "../../host/common/loadSequence";
import { MAX_ORDERS_IN_FLIGHT } from "../../host/common/orderQueue";
import { WorkKind } from "../../host/common/workKind";
import { DecisionLog } from "../../host/node/decisionLog";
import { JobProcess } from "../../host/node/jobProcess";
import { deriveIngressLimits } from "../../ingress/common/ingressLimits";
import { HttpClient } from "../../services/node/httpClient";
import { StreamDecoder } from "../common/streamDecoder";
import { PlatformFrontEnd } from "./platformFrontEnd";
import { PlatformStore } from "./platformStore";
import { PlatformWorkers } from "./platformWorkers";

/** Connections to the store: of three streams four reads each, which repeat each other if they are late, and two appends. */
const STORE_CONNECTIONS = 14;

/** Size of the random suffix that makes the name of each start unique. */
const INSTANCE_SUFFIX_BYTES = 4;

/**
 * Bound of the nonce, the first sequence number of a producer. It is random, so that two claims of one epoch differ.
 */
const MAX_NONCE = 1_000_000_000;

const MS_PER_SECOND = 1_000;

/** Time from which no task of a cancelled job starts, where the settings do not say it, in ms. */
const DEFAULT_CANCEL_MS = 3_000;

/** Time after a request to stop from which the process may be killed, where the settings do not say it, in s. */
const DEFAULT_GRACE_S = 6;

/** Time from which no task starts on a worker that leaves, where the settings do not say it, in ms. */
const DEFAULT_DRAIN_MS = 2_500;

/**
 * Starts an instance on the platform.
 * @param settings Settings of the instance.
 * @returns The running process.
 */
export async function startOnPlatform(settings: JobSettings): Promise<JobProcess> {
    const name = `${settings.instance}-${randomBytes(INSTANCE_SUFFIX_BYTES).toString("hex")}`;
    const log = DecisionLog.create(name);
    const onFailure = (call: string, failure: string) => log.log("store-call-failed", { call, failure }, "detail");
    const traffic = TrafficMeter.create<RequestKind>();
    const store = PlatformStore.create(
        settings.store,
        HttpClient.create({ connections: STORE_CONNECTIONS }),
        onFailure,
        traffic,
    );
    const workers = PlatformWorkers.create(
        HttpClient.create({ connections: MAX_ORDERS_IN_FLIGHT }),
        (call, failure) => log.log("worker-call-failed", { call, failure }, "detail"),
        traffic,
    );
    const { retentionS, graceS, cancelMs, drainMs, evacuationMs, crossRackFactor, ...scheduling } = settings.scheduling;
    const handoverGraceS = settings.handover?.graceS ?? undefined;
    const limits = {
        ...scheduling,
        cancelMs: cancelMs ?? DEFAULT_CANCEL_MS,
        drainMs: drainMs ?? DEFAULT_DRAIN_MS,
        evacuationMs: evacuationMs ?? undefined,
        crossRackFactor: crossRackFactor ?? undefined,
        retentionMs: retentionS * MS_PER_SECOND,
        graceMs: (graceS ?? DEFAULT_GRACE_S) * MS_PER_SECOND,
        handoverGraceMs: handoverGraceS === undefined ? undefined : handoverGraceS * MS_PER_SECOND,
        maxJobBytes: deriveIngressLimits(settings.machine, settings.ingress).jobBytes,
    };
    const { share, speed } = settings.processor;
    const work = WorkClock.create<WorkKind>();
    const identity = {
        instance: name,
        host: settings.instance,
        nonce: randomInt(MAX_NONCE),
        storeRoundTripMs: () => store.latency.shortestMs,
        storeExcessMs: () => store.latency.excessMs(performance.now()),
        loadOrder: loadOrderOf(settings.failureDomains ?? {}, settings.region),
        cores: share * speed,
        work,
    };
    const instance = JobInstance.create(identity, limits, StreamDecoder.create());
    return JobProcess.start(instance, settings, {
        store,
        workers,
        log,
        work,
        traffic,
        createFrontEnd: (process, ingress) =>
            PlatformFrontEnd.create(ingress, {
                handleCall: (call, reply) => process.handleCall(call, reply),
                maxBodyBytes: () => instance.maxBodyBytes,
                isStopping: () => process.isStopping,
            }),
    });
}
