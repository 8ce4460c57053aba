import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    LeaseCallMessage,
    LeaseCallMessageSchema,
    WorkerReportMessage,
    WorkerReportMessageSchema,
} from "../../generated/wigeonstall/v1/worker_pb";
import { toPlain } from "../common/kindCase";
import { AttemptName, LeaseCall, LeaseOrder, WorkerReport } from "../common/worker";

type Numbered<T extends AttemptName> = Omit<T, "task"> & { readonly task: number };

type DecodedCall = Omit<LeaseCall, "renewals"> & {
    readonly expiresAt: number;
    readonly renewals: readonly (AttemptName & { readonly order: LeaseOrder | "" })[];
};

/** Encodes a call. */
export function encodeCall(call: LeaseCall): Uint8Array {
    const message = {
        ...call,
        starts: call.starts.map(toNumber),
        // Nearly all attempts are to go on, so that order is the one that takes no space.
        renewals: call.renewals.map(each => ({ ...toNumber(each), order: each.order === "run" ? "" : each.order })),
        // All renewals of a call go up to the same reading.
        expiresAt: call.renewals[0]?.expiresAt ?? 0,
        acknowledged: call.acknowledged.map(toNumber),
    };
    return toBinary(LeaseCallMessageSchema, create(LeaseCallMessageSchema, message as unknown as LeaseCallMessage));
}

/** Decodes a call. */
export function decodeCall(bytes: Uint8Array): LeaseCall {
    const { expiresAt, ...message } = toPlain(fromBinary(LeaseCallMessageSchema, bytes)) as DecodedCall;
    const name = toName(message.shard);
    const renewals = message.renewals.map(({ order, ...each }) => ({
        ...name(each),
        expiresAt,
        order: order === "" ? ("run" as const) : order,
    }));
    return { ...message, starts: message.starts.map(name), renewals, acknowledged: message.acknowledged.map(name) };
}

/** Encodes a report. */
export function encodeReport(report: WorkerReport): Uint8Array {
    const message = {
        ...report,
        running: report.running.map(toNumber),
        finished: report.finished.map(toNumber),
        refused: report.refused.map(toNumber),
    };
    return toBinary(
        WorkerReportMessageSchema,
        create(WorkerReportMessageSchema, message as unknown as WorkerReportMessage),
    );
}

/** Decodes a report. @param shard Shard of the worker. */
export function decodeReport(bytes: Uint8Array, shard: string): WorkerReport {
    const message = toPlain(fromBinary(WorkerReportMessageSchema, bytes)) as WorkerReport;
    const name = toName(shard);
    return {
        ...message,
        running: message.running.map(name),
        finished: message.finished.map(name),
        refused: message.refused.map(name),
    };
}

function toNumber<T extends AttemptName>(each: T): Numbered<T> {
    return { ...each, task: Number(each.task.slice(each.task.lastIndexOf("/") + 1)) };
}

function toName(shard: string) {
    return <T extends AttemptName>(each: T): T => ({ ...each, task: `${shard}/${each.task}` });
}
