import { OrderAnswer } from "../../dispatch/common/workers/workerClient";
import { ListedEnd, ListedRun, OrderOutcome, RunEnd, RunList } from "../../dispatch/common/workers/workerMessages";
import { NewestPage } from "../../records/common/recordStore";
import { WireLists } from "./wireTypes";

const OUTCOME_BY_REASON: ReadonlyMap<unknown, OrderOutcome> = new Map([
    ["fence", "fenced"],
    ["old", "superseded"],
    ["late", "too-late"],
    ["room", "no-room"],
    ["ticket", "no-ticket"],
]);

const OUTCOME_BY_STATUS: Readonly<Record<number, OrderOutcome>> = {
    200: "done",
    421: "other-incarnation",
    429: "unhealthy",
    503: "unhealthy",
};

/** Limit of the readings of clocks, in ms: the end of the year 9999. */
const MAX_TIME_MS = 253_402_300_799_999;

const RUN_ENDS: readonly RunEnd[] = ["done", "failed", "stopped", "lapsed", "broken", "alone"];

/**
 * Decodes a worker's answer to an order.
 * @param status Status of the response.
 * @param body Body of the response.
 * @returns The answer, or `undefined` if it is malformed: then it is not known whether the order was executed.
 */
export function decodeWorkerAnswer(status: number, body: Uint8Array): OrderAnswer | undefined {
    const value = body.length === 0 ? {} : parseObject(body);
    if (value === undefined || !isOptionalTime(value.clockMs)) {
        return undefined;
    }
    const { clockMs } = value;
    if (status !== 200) {
        const outcome = status === 409 ? OUTCOME_BY_REASON.get(value.reason) : OUTCOME_BY_STATUS[status];
        return { outcome: outcome ?? "invalid", clockMs };
    }
    const list = decodeRunList(value);
    return list === undefined ? undefined : { outcome: "done", clockMs, list };
}

/** @param body Body of the answer to a read of the newest records. @returns The page, or `undefined` if malformed. */
export function decodeNewestPage(body: Uint8Array): NewestPage | undefined {
    const page = parseObject(body);
    if (page === undefined) {
        return undefined;
    }
    const { items = [], hasMore = false, end = 0 } = page;
    if (!isArrayOf(items, isNewestRow) || typeof hasMore !== "boolean" || !isNumber(end)) {
        return undefined;
    }
    const records = items.map(({ key, value, offset }) => ({
        key,
        value: Buffer.from(value, "base64").toString("utf8"),
        offset,
    }));
    return { records, end, hasMore };
}

/** @param body Body of the answer to an append. @returns Offset of the first record, or `undefined` if malformed. */
export function decodeAppendAnswer(body: Uint8Array): number | undefined {
    const offset = parseObject(body)?.offset;
    return isNumber(offset) ? offset : undefined;
}

/** Number of ends that a worker lists at a time. */
const MAX_LISTED_ENDS = 500;

/** Checked by hand, as all answers here: lists are the most frequent messages, and a schema costs several times as much. */
function decodeRunList(value: Partial<Record<keyof WireLists, unknown>>): RunList | undefined {
    const { born, running = [], ended = [] } = value;
    if (!isOptionalTime(born) || !isArrayOf(running, isRunRow) || !isArrayOf(ended, isEndRow)) {
        return undefined;
    }
    const hasMoreEnds = ended.length >= MAX_LISTED_ENDS;
    return { incarnation: born, running: running.map(toListedRun), ended: ended.map(toListedEnd), hasMoreEnds };
}

function toListedRun([task, run, checkpoint, percent, measure]: RunRow): ListedRun {
    return { task, run, checkpoint, percent, latencyOrUsage: measure ?? 0 };
}

function toListedEnd([number, task, run, end, checkpoint]: EndRow): ListedEnd {
    return { number, task, run, end: end as RunEnd, checkpoint };
}

/** The newest record of a key. */
interface NewestRow {
    readonly key: string;
    /** In base64. */
    readonly value: string;
    readonly offset: number;
}

type RunRow = NonNullable<WireLists["running"]>[number];
type EndRow = NonNullable<WireLists["ended"]>[number];

function isArrayOf<T>(value: unknown, isRow: (row: unknown) => row is T): value is T[] {
    return Array.isArray(value) && value.every(isRow);
}

function isNewestRow(row: unknown): row is NewestRow {
    return isObject(row) && typeof row.key === "string" && typeof row.value === "string" && isNumber(row.offset);
}

function isRunRow(row: unknown): row is RunRow {
    if (!Array.isArray(row)) {
        return false;
    }
    const [task, run, checkpoint, percent, measure] = row as unknown[];
    return (
        typeof task === "string" &&
        Number.isSafeInteger(run) &&
        typeof checkpoint === "string" &&
        Number.isFinite(percent) &&
        isOptionalNumber(measure)
    );
}

function isEndRow(row: unknown): row is EndRow {
    if (!Array.isArray(row)) {
        return false;
    }
    const [number, task, run, end, checkpoint] = row as unknown[];
    return (
        Number.isSafeInteger(number) &&
        typeof task === "string" &&
        Number.isSafeInteger(run) &&
        RUN_ENDS.includes(end as RunEnd) &&
        typeof checkpoint === "string"
    );
}

function isOptionalNumber(value: unknown): value is number | undefined {
    return value === undefined || Number.isFinite(value);
}

/** A reading of a clock that is no time would shut out the later, valid ones. */
function isOptionalTime(value: unknown): value is number | undefined {
    return (
        value === undefined || (Number.isFinite(value) && (value as number) >= 0 && (value as number) <= MAX_TIME_MS)
    );
}

function isNumber(value: unknown): value is number {
    return Number.isFinite(value);
}

function isObject(value: unknown): value is Record<string, unknown> {
    return value instanceof Object && !Array.isArray(value);
}

/** @returns The object that a body contains, or `undefined` if it is not JSON or not an object. */
function parseObject(body: Uint8Array): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(new TextDecoder().decode(body));
        return isObject(value) ? value : undefined;
    } catch {
        // The caller logs the malformed answer.
        return undefined;
    }
}
