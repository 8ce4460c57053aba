import { readFileSync, writeFileSync } from "node:fs";
import { toBinary } from "@bufbuild/protobuf";
import { formatTable } from "../../base/common/table";
import { Outbox } from "../../base/common/outbox";
import { withDrift } from "../../coordination/common/duration";
import { READ_WAIT_MS } from "../../coordination/common/logSession";
import { OWNERSHIP_LEASE_MS } from "../../coordination/common/ownershipManager";
import { REBALANCE_INTERVAL_MS, URGENT_EVICTION_DELAY_MS } from "../../scheduling/common/schedulingLimits";
import { TICK_INTERVAL_MS } from "../../serving/node/instanceProcess";
import { GrantTable } from "../../coordination/common/grantTable";
import { PeerAskSchema, PeerReplySchema } from "../../generated/wigeonstall/v1/peer_pb";
import { LinkBudget } from "../../routing/common/linkBudget";
import { ExpectedLatency } from "../../routing/common/expectedLatency";
import { Router } from "../../routing/common/router";
import { RouteEffect } from "../../routing/common/routeEvents";
import { ShardEntry } from "../../scheduling/common/taskEntry";
import { Directory } from "../../serving/common/directory";
import { Batch } from "../../services/common/logEvents";
import { LogEntry } from "../../serving/common/logEntry";
import { encodeAsk, encodeReply } from "../../serving/node/peerCodec";
import { encodeCall, encodeReport } from "../../services/node/workerCodec";
import { decodeBatch, encodeBatch } from "../../serving/node/recordCodec";
import { BenchSlots } from "./benchSlots";
import { benchListing, benchTask, ShardBench } from "./shardBench";
import { fitLine, Point, Slope } from "./slope";

const US_PER_S = 1e6;
const PAGE = "docs/CAPACITY.md";
const BEGIN = "<!-- slopes: begin -->";
const END = "<!-- slopes: end -->";

/** Number of repetitions; the fastest one counts, because other processes share the machine. */
const REPETITIONS = 5;

/** Size of the HTTP/1.1 headers that the library sends for a small call and its response on loopback, in bytes. */
const HTTP_OVERHEAD_BYTES = 330;

/** Target size of a deployment; `starts` is a rate per second. */
const TARGET = { workers: 930, tasks: 8_100, starts: 92, instances: 8, shards: 16, requests: 600 };

/** Resource budgets of one instance, for scheduling and coordination only. */
const BUDGET = { bytesPerS: 29_000, cpuShare: 0.035, memoryMb: 64 };

/** @returns Minimum CPU time of an action over all repetitions, in µs. */
function minCpuUs(action: () => void): number {
    let minUs = Number.POSITIVE_INFINITY;
    for (let run = 0; run < REPETITIONS; run++) {
        const before = process.cpuUsage();
        action();
        const { user, system } = process.cpuUsage(before);
        minUs = Math.min(minUs, user + system);
    }
    return minUs;
}

/** @returns Heap size of what `create` returns, in bytes. */
function heapBytes(create: () => unknown): number {
    // The first call also allocates compiled code.
    create();
    global.gc?.();
    global.gc?.();
    const before = process.memoryUsage().heapUsed;
    const created = create();
    global.gc?.();
    global.gc?.();
    const bytes = process.memoryUsage().heapUsed - before;
    return created === undefined ? 0 : bytes;
}

function measurePoints(sizes: readonly number[], measure: (size: number) => number): Point[] {
    return sizes.map(size => ({ size, value: measure(size) }));
}

/** @returns The log entries of a task from its submission to its end. */
function taskEntries(index: number): ShardEntry[] {
    const attempt = { epoch: 40_000, task: 1_234_567_890 + index, attempt: 1 };
    const size = { cpus: 4, memoryGb: 8, accelerators: 0 };
    return [
        benchTask(index),
        { kind: "task-assigned", ...attempt, worker: `worker-${index % 930}`, boot: "b1", ...size },
        { kind: "attempt-ended", ...attempt, end: "done", result: "s3://bucket/output", checkpoint: "" },
    ];
}

function encodedBytes(entries: readonly LogEntry[]): number {
    return encodeBatch({ writer: "entry-1-3defb4@40000", sequence: 70_000, entries }).length;
}

function recordSlopes(): Slope[] {
    const sizes = [1, 4, 16, 64];
    const bytes = measurePoints(sizes, size =>
        encodedBytes(Array.from({ length: size }, (_, i) => taskEntries(i)).flat()),
    );
    const counts = [1_000, 2_000, 4_000, 8_000];
    const folding = measurePoints(counts, size => {
        const payloads = Array.from({ length: size }, (_, i) =>
            encodeBatch({ writer: "w", sequence: i + 1, entries: taskEntries(i) }),
        );
        return minCpuUs(() => {
            const bench = ShardBench.create(1);
            payloads.forEach((payload, offset) =>
                bench.fold.applyBatch({ offset, batch: decodeBatch(payload) as Batch<ShardEntry> }),
            );
        });
    });
    return [
        fitLine("log: bytes of a task's records", "B/task", bytes),
        fitLine("log: decoding and folding a task's records", "µs/task", folding),
    ];
}

function placementSlopes(): Slope[] {
    const measurePlacementUs = (workers: number, tasks: number) => {
        const bench = ShardBench.create(workers);
        bench.fill(tasks);
        for (let index = 0; index < 64; index++) {
            bench.apply([benchTask(100_000 + index)]);
        }
        const placeAgain = () => {
            bench.context.pendingAssignments.clear();
            bench.placer.placeQueued(performance.now(), Date.now());
        };
        placeAgain();
        return minCpuUs(placeAgain) / 64;
    };
    const sizes = [15, 29, 58, 116];
    return [
        fitLine(
            "placement: one start, by workers of the shard",
            "µs/worker",
            measurePoints(sizes, size => measurePlacementUs(size, size * 6)),
        ),
    ];
}

function grantSlopes(): Slope[] {
    const createTable = (workers: number) => {
        const grants = GrantTable.create("north-0", 0, 10_000);
        for (let index = 0; index < workers; index++) {
            grants.setShare(`worker-${index}`, 3);
        }
        return grants;
    };
    const createRequest = (instance: number) =>
        ({
            kind: "grant-ask",
            shard: "north-0",
            instance: `entry-${instance}-3defb4`,
            serial: 0,
            epoch: 0,
            demands: [{ service: "quotes", slots: 30 }],
            held: [],
            latencies: [],
        }) as const;
    const createFilledTable = (workers: number) => {
        const grants = createTable(workers);
        for (let instance = 0; instance < TARGET.instances; instance++) {
            grants.reply(createRequest(instance), 0);
        }
        grants.applyLimits(grants.updateLimits(0));
        return grants;
    };
    const sizes = [15, 29, 58, 116];
    const bytes = measurePoints(sizes, size => {
        const grants = createFilledTable(size);
        const reply = grants.reply(createRequest(0), 1);
        const request = encodeAsk("entry-1-3defb4", { ...createRequest(0), held: reply.grants });
        return toBinary(PeerReplySchema, encodeReply(reply)).length + toBinary(PeerAskSchema, request).length;
    });
    const work = measurePoints(sizes, size => {
        const grants = createFilledTable(size);
        return (
            minCpuUs(() => {
                for (let round = 0; round < 10; round++) {
                    for (let instance = 0; instance < TARGET.instances; instance++) {
                        grants.reply(createRequest(instance), round);
                    }
                    grants.updateLimits(round);
                }
            }) / 10
        );
    });
    return [
        fitLine("grants: bytes of a question and its answer", "B/worker", bytes),
        fitLine("grants: one round of all instances", "µs/worker", work),
    ];
}

function leaseSlopes(): Slope[] {
    const sizes = [0, 2, 4, 8];
    const bytes = measurePoints(sizes, size => {
        const attempts = Array.from({ length: size }, (_, i) => ({ task: `north-0/${1_234_567_890 + i}`, attempt: 1 }));
        const renewals = attempts.map(each => ({ ...each, expiresAt: 123_456_789, order: "run" as const }));
        const call = {
            shard: "north-0",
            usage: false,
            epoch: 40_000,
            boot: "b1",
            starts: [],
            renewals,
            acknowledged: [],
        };
        const usage = { progress: 0.123456789, cpus: 0, memoryGb: 0, slowdown: 1 };
        const running = attempts.map(each => ({ ...each, ...usage }));
        const report = { boot: "b1", clock: 123_456_789, measuredAt: 123_450_000, running, finished: [], refused: [] };
        return encodeCall(call).length + encodeReport(report).length + HTTP_OVERHEAD_BYTES;
    });
    return [fitLine("leases: bytes of a call and its report", "B/task", bytes)];
}

function requestSlopes(): Slope[] {
    const sizes = [35, 70, 140, 280];
    const work = measurePoints(sizes, size => {
        const outbox = Outbox.create<RouteEffect>();
        const router = Router.create(
            "north",
            BenchSlots.create(size),
            ExpectedLatency.create(),
            LinkBudget.create(8),
            outbox,
        );
        let id = 0;
        const count = 2_000;
        return (
            minCpuUs(() => {
                for (let index = 0; index < count; index++) {
                    id += 1;
                    const description = {
                        id,
                        service: "s",
                        requestClass: "idempotent",
                        deadline: 1e9,
                        bytes: 100,
                        isStreaming: false,
                    } as const;
                    router.handle({ kind: "request-received", description }, index);
                    router.handle({ kind: "upstream-response-started", request: id, attempt: 1 }, index + 1);
                    router.handle(
                        { kind: "upstream-response-complete", request: id, attempt: 1, isClosing: false },
                        index + 2,
                    );
                    outbox.drain();
                }
            }) / count
        );
    });
    return [fitLine("routing: one request, by upstreams of the service", "µs/upstream", work)];
}

function memorySlopes(): Slope[] {
    const tasks = measurePoints([500, 1_000, 2_000, 4_000], size =>
        heapBytes(() => {
            const bench = ShardBench.create(60);
            bench.fill(size);
            return bench;
        }),
    );
    const workers = measurePoints([116, 232, 465, 930], size =>
        heapBytes(() => {
            const directory = Directory.create([{ name: "north-0", region: "north" }]);
            const listing = { workers: Array.from({ length: size }, (_, i) => benchListing(i)), entries: [] };
            directory.update(JSON.parse(JSON.stringify(listing)) as typeof listing);
            return directory;
        }),
    );
    return [
        fitLine("memory: heap of a task at its owner", "B/task", tasks),
        fitLine("memory: heap of a listed worker", "B/worker", workers),
    ];
}

interface ProcessFigures {
    readonly size: number;
    readonly resident: number;
    readonly cpu: number;
}

/** Reads the figures of the whole binary, which `scripts/resident.mjs` has measured before. */
function processSlopes(): Slope[] {
    const figures = JSON.parse(readFileSync("out/resident.json", "utf8")) as ProcessFigures[];
    return [
        fitLine(
            "process: resident memory",
            "MB/worker",
            figures.map(each => ({ size: each.size, value: each.resident })),
        ),
        fitLine(
            "process: processor time without tasks",
            "% of a core/worker",
            figures.map(each => ({ size: each.size, value: each.cpu * 100 })),
        ),
    ];
}

interface Verdict {
    readonly budget: string;
    readonly need: string;
    readonly limit: string;
    readonly verdict: string;
}

function valueAt(slopes: readonly Slope[], name: string, size: number): number {
    const slope = slopes.find(each => each.name.startsWith(name))!;
    return slope.constant + slope.perUnit * size;
}

function verdictOf(need: number, limit: number): string {
    return need <= limit ? "held" : `not held, by ${((need / limit - 1) * 100).toFixed(0)}%`;
}

function compareWithBudgets(slopes: readonly Slope[]): Verdict[] {
    const { workers, tasks, starts, instances, shards } = TARGET;
    const workersPerInstance = workers / instances;
    const bytesPerTask = slopes.find(each => each.name.startsWith("log: bytes"))!.perUnit;
    const logBytes = (2 * bytesPerTask * starts) / instances;
    // A call for a start or an end replaces the worker's periodic report, so the larger of the two rates counts.
    const callsPerS = Math.max(workersPerInstance / 10, (2 * starts) / instances);
    const leaseBytes = callsPerS * valueAt(slopes, "leases", tasks / workers);
    const grantBytes = (2 * shards * (valueAt(slopes, "grants: bytes", workers / shards) + HTTP_OVERHEAD_BYTES)) / 5;
    const presenceBytes = instances * 0.25 * 130 + 2 * 200 + 250;
    const bytes = logBytes + leaseBytes + grantBytes + presenceBytes;
    const foldUsPerS =
        (valueAt(slopes, "log: decoding", 1) - valueAt(slopes, "log: decoding", 0)) * (starts / instances);
    const placeUsPerS = valueAt(slopes, "placement", workers / shards) * (starts / instances);
    const grantUsPerS = valueAt(slopes, "grants: one round", workers / shards) * (shards / instances);
    const cpuShare = (foldUsPerS + placeUsPerS + grantUsPerS) / US_PER_S;
    const stateMb =
        (valueAt(slopes, "memory: heap of a task", tasks / instances) +
            valueAt(slopes, "memory: heap of a listed", workers)) /
        1e6;
    const rows: Verdict[] = [
        {
            budget: "bytes/s of an instance for control",
            need: `${bytes.toFixed(0)} (log ${logBytes.toFixed(0)}, leases ${leaseBytes.toFixed(0)}, grants ${grantBytes.toFixed(0)}, members and list ${presenceBytes.toFixed(0)})`,
            limit: String(BUDGET.bytesPerS),
            verdict: verdictOf(bytes, BUDGET.bytesPerS),
        },
        {
            budget: "processor share of decisions",
            need: `${(cpuShare * 100).toFixed(2)}% (folding ${(foldUsPerS / 1e4).toFixed(2)}%, placing ${(placeUsPerS / 1e4).toFixed(2)}%, grants ${(grantUsPerS / 1e4).toFixed(2)}%)`,
            limit: `${(BUDGET.cpuShare * 100).toFixed(1)}%`,
            verdict: verdictOf(cpuShare, BUDGET.cpuShare),
        },
        {
            budget: "heap of the state of the target size",
            need: `${stateMb.toFixed(1)} MB`,
            limit: `${BUDGET.memoryMb} MB`,
            verdict: verdictOf(stateMb, BUDGET.memoryMb),
        },
        {
            budget: "resident memory of an instance",
            need: `${valueAt(slopes, "process: resident", workersPerInstance).toFixed(0)} MB`,
            limit: `${BUDGET.memoryMb} MB`,
            verdict: verdictOf(valueAt(slopes, "process: resident", workersPerInstance), BUDGET.memoryMb),
        },
        {
            budget: "processor time of an instance without tasks",
            need: `${valueAt(slopes, "process: processor", workersPerInstance).toFixed(1)}%`,
            limit: `${(BUDGET.cpuShare * 100).toFixed(1)}%`,
            verdict: verdictOf(valueAt(slopes, "process: processor", workersPerInstance), BUDGET.cpuShare * 100),
        },
    ];
    const expectedAppends = shards * 5 + instances * 0.25 + starts * (1 - Math.exp(-starts / (shards * instances * 5)));
    const maxAppends = shards * 5 + instances * 0.25 + starts;
    rows.push({
        budget: "appends/s on the log, all instances",
        need: `${maxAppends.toFixed(0)} at most (owners ${shards * 5}, members ${instances * 0.25}, submissions ${starts}); expected ${expectedAppends.toFixed(0)}`,
        limit: "200",
        verdict: verdictOf(maxAppends, 200),
    });
    const linkBytes = (instances / 2) * (logBytes + grantBytes / 2 + presenceBytes);
    rows.push(
        {
            budget: "bytes/s between regions for control",
            need: `${linkBytes.toFixed(0)} (half of the instances read the log and half of the grants from the other region)`,
            limit: "2500000",
            verdict: verdictOf(linkBytes, 2_500_000),
        },
        {
            budget: "urgent start, ms",
            need: `${4 * TICK_INTERVAL_MS + 50} (submission, pass, assignment, call); ${2 * TICK_INTERVAL_MS + 50 + REBALANCE_INTERVAL_MS + URGENT_EVICTION_DELAY_MS} with an eviction`,
            limit: "5400",
            verdict: verdictOf(2 * TICK_INTERVAL_MS + 50 + REBALANCE_INTERVAL_MS + URGENT_EVICTION_DELAY_MS, 5_400),
        },
        {
            budget: "urgent start while a shard's owner is replaced after a death, ms",
            need: String(withDrift(OWNERSHIP_LEASE_MS) + READ_WAIT_MS + 4 * TICK_INTERVAL_MS),
            limit: "5400",
            verdict: verdictOf(withDrift(OWNERSHIP_LEASE_MS) + READ_WAIT_MS + 4 * TICK_INTERVAL_MS, 5_400),
        },
        {
            budget: "ticket in force everywhere, ms",
            need: `${TICK_INTERVAL_MS + READ_WAIT_MS}`,
            limit: "9000",
            verdict: verdictOf(TICK_INTERVAL_MS + READ_WAIT_MS, 9_000),
        },
    );
    return rows;
}

function renderTables(slopes: readonly Slope[], rows: readonly Verdict[]): string {
    const slopeRows = slopes.map(each => [
        each.name,
        `${each.constant.toFixed(1)} + ${each.perUnit.toPrecision(3)} ${each.unit}`,
        each.points.map(point => `${point.size}: ${point.value.toFixed(0)}`).join(", "),
        `${(each.residual * 100).toFixed(1)}%`,
    ]);
    const formatMarkdown = (header: readonly string[], body: readonly (readonly string[])[]) =>
        [header, header.map(() => "---"), ...body].map(row => `| ${row.join(" | ")} |`).join("\n");
    return [
        formatMarkdown(["measured", "line", "points (size: value)", "residual"], slopeRows),
        "",
        formatMarkdown(
            ["budget", "need at the target size", "limit", "verdict"],
            rows.map(row => [row.budget, row.need, row.limit, row.verdict]),
        ),
    ].join("\n");
}

const slopes = [
    ...recordSlopes(),
    ...placementSlopes(),
    ...grantSlopes(),
    ...leaseSlopes(),
    ...requestSlopes(),
    ...memorySlopes(),
    ...processSlopes(),
];
const rows = compareWithBudgets(slopes);
console.log(
    formatTable(
        ["MEASURED", "LINE", "RESIDUAL"],
        slopes.map(each => [
            each.name,
            `${each.constant.toFixed(1)} + ${each.perUnit.toPrecision(3)} ${each.unit}`,
            `${(each.residual * 100).toFixed(1)}%`,
        ]),
    ),
);
console.log();
console.log(
    formatTable(
        ["BUDGET", "NEED", "LIMIT", "VERDICT"],
        rows.map(row => [row.budget, row.need, row.limit, row.verdict]),
    ),
);
const page = readFileSync(PAGE, "utf8");
const [head, rest] = [page.slice(0, page.indexOf(BEGIN)), page.slice(page.indexOf(END))];
writeFileSync(PAGE, `${head}${BEGIN}\n${renderTables(slopes, rows)}\n${rest}`);
