import { InstanceListEffect, InstanceListEvent } from "../../services/common/instanceListEvents";
import { LogEffect, LogEvent } from "../../services/common/logEvents";
import { WorkerEffect, WorkerEvent } from "../../services/common/workerEvents";
import { RouteEffect, RouteEvent } from "../../routing/common/routeEvents";
import { AuditEffect } from "../../scheduling/common/auditEntry";
import { ApiEffect, ApiRequest } from "./apiMessages";
import { LogEntry } from "./logEntry";
import { PeerEffect, PeerEvent } from "./peerMessages";

/** All events that an instance handles. */
export type InstanceEvent =
    | LogEvent<LogEntry>
    | WorkerEvent
    | PeerEvent
    | RouteEvent
    | ApiRequest
    | InstanceListEvent
    | { readonly kind: "tick" }
    | { readonly kind: "stop" };

/** All effects that an instance emits. */
export type InstanceEffect =
    | LogEffect<LogEntry>
    | WorkerEffect
    | PeerEffect
    | RouteEffect
    | ApiEffect
    | AuditEffect
    | InstanceListEffect
    /** The instance has drained, and the process may exit. */
    | { readonly kind: "stopped" };
