import { SnapshotTaken } from "./snapshot";

/** The complete new state of one object. */
export interface TicketObject {
    /** Kind and name, for example `service/archebu`. */
    readonly key: string;
    /** JSON of the state; empty when the ticket removes the object. */
    readonly value: string;
}

/** A change ticket filed by an operator. */
export interface TicketFiled {
    readonly kind: "ticket-filed";
    readonly number: number;
    /** Number of the latest ticket in force that the author had seen. */
    readonly basedOn: number;
    readonly author: string;
    readonly reason: string;
    /** Time of filing, in ms since the Unix epoch. */
    readonly filedAt: number;
    readonly objects: readonly TicketObject[];
}

/** Entries of the ticket stream. */
export type TicketEntry = TicketFiled | SnapshotTaken;
