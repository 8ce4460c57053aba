import { OwnershipEntry } from "../../coordination/common/ownershipEntry";
import { TicketEntry } from "../../coordination/common/ticketEntry";
import { ShardEntry } from "../../scheduling/common/taskEntry";

/** Any entry of any stream. */
export type LogEntry = TicketEntry | OwnershipEntry | ShardEntry;

/** Stream of the configuration tickets. */
export const TICKET_STREAM = "tickets";

/** Stream of the live instances and the ownership of shards. */
export const OWNERSHIP_STREAM = "ownership";
