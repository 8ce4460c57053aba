import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    LeaseCallMessage,
    LeaseCallMessageSchema,
    WorkerReportMessage,
    WorkerReportMessageSchema,
} from "../../generated/wigeonstall/v1/worker_pb";
import { toPlain } from "../common/kindCase";
import { AttemptId, LeaseCall, LeaseOrder, WorkerReport } from "../common/worker";

type WithTaskNumber<T extends AttemptId> = Omit<T, "task"> & { readonly task: number };

type DecodedCall = Omit<LeaseCall, "renewals"> & {
    readonly expiresAt: number;
    readonly renewals: readonly (AttemptId & { readonly order: LeaseOrder | "" })[];
};

/** Encodes a call. Task names are sent as numbers, without the shard. */
export function encodeCall(call: LeaseCall): Uint8Array {
    const message = {
        ...call,
        starts: call.starts.map(withTaskNumber),
        // Almost all orders are "run", so it is encoded as the empty string, which takes no space.
        renewals: call.renewals.map(each => ({
            ...withTaskNumber(each),
            order: each.order === "run" ? "" : each.order,
        })),
        // All renewals of a call have the same expiry time.
        expiresAt: call.renewals[0]?.expiresAt ?? 0,
        acknowledged: call.acknowledged.map(withTaskNumber),
    };
    return toBinary(LeaseCallMessageSchema, create(LeaseCallMessageSchema, message as unknown as LeaseCallMessage));
}

/** Decodes a call. */
export function decodeCall(bytes: Uint8Array): LeaseCall {
    const { expiresAt, ...message } = toPlain(fromBinary(LeaseCallMessageSchema, bytes)) as DecodedCall;
    const withName = withTaskName(message.shard);
    const renewals = message.renewals.map(({ order, ...each }) => ({
        ...withName(each),
        expiresAt,
        order: order === "" ? ("run" as const) : order,
    }));
    return {
        ...message,
        starts: message.starts.map(withName),
        renewals,
        acknowledged: message.acknowledged.map(withName),
    };
}

/** Encodes a report. */
export function encodeReport(report: WorkerReport): Uint8Array {
    const message = {
        ...report,
        running: report.running.map(withTaskNumber),
        finished: report.finished.map(withTaskNumber),
        refused: report.refused.map(withTaskNumber),
    };
    return toBinary(
        WorkerReportMessageSchema,
        create(WorkerReportMessageSchema, message as unknown as WorkerReportMessage),
    );
}

/** Decodes a report. @param shard Shard of the worker. */
export function decodeReport(bytes: Uint8Array, shard: string): WorkerReport {
    const message = toPlain(fromBinary(WorkerReportMessageSchema, bytes)) as WorkerReport;
    const withName = withTaskName(shard);
    return {
        ...message,
        running: message.running.map(withName),
        finished: message.finished.map(withName),
        refused: message.refused.map(withName),
    };
}

function withTaskNumber<T extends AttemptId>(each: T): WithTaskNumber<T> {
    return { ...each, task: Number(each.task.slice(each.task.lastIndexOf("/") + 1)) };
}

function withTaskName(shard: string) {
    return <T extends AttemptId>(each: T): T => ({ ...each, task: `${shard}/${each.task}` });
}
