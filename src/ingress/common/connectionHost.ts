import { RefusalReason } from "./refusalReason";

/** The edge of a connection, which does what is decided about it. */
export abstract class ConnectionHost {
    /** Closes the connection at once. @param reason Why. */
    abstract close(reason: RefusalReason): void;

    /** Answers the request that is being received as one that was not run, and closes the connection. @param reason Why. */
    abstract refuse(reason: RefusalReason): void;

    /** Continues to read. */
    abstract resume(): void;
}
