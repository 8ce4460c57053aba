import { ListEffect, ListEvent } from "../../services/common/listTraffic";
import { LogEffect, LogEvent } from "../../services/common/logTraffic";
import { WorkerEffect, WorkerEvent } from "../../services/common/workerTraffic";
import { RouteEffect, RouteEvent } from "../../routing/common/routeTraffic";
import { AuditEffect } from "../../scheduling/common/auditEntry";
import { ApiEffect, DeskEvent } from "./deskTraffic";
import { LogEntry } from "./logEntry";
import { PeerEffect, PeerEvent } from "./peerTraffic";

/** Everything that an instance learns. */
export type InstanceEvent =
    | LogEvent<LogEntry>
    | WorkerEvent
    | PeerEvent
    | RouteEvent
    | DeskEvent
    | ListEvent
    | { readonly kind: "tick" }
    | { readonly kind: "stop" };

/** Everything that an instance asks for. */
export type InstanceEffect =
    | LogEffect<LogEntry>
    | WorkerEffect
    | PeerEffect
    | RouteEffect
    | ApiEffect
    | AuditEffect
    | ListEffect
    /** The instance holds nothing any more and may end. */
    | { readonly kind: "stopped" };
