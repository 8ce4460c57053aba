import { Emitter } from "./emitter";

/** A request that was sent. */
export interface SentRequest<Kind extends string> {
    readonly kind: Kind;
    /** Size of its body, in bytes. */
    readonly bytes: number;
}

/** Counts the requests that a process sends, by kind. */
export class TrafficMeter<Kind extends string> {
    private readonly didSend = Emitter.create<SentRequest<Kind>>();
    /** Fires with each request that is sent. */
    readonly onDidSend = this.didSend.event;

    private constructor() {}

    /** @returns A meter that has counted nothing. */
    static create<K extends string>(): TrafficMeter<K> {
        return new TrafficMeter();
    }

    /** Counts a request. @param kind Kind of the request. @param bytes Size of its body, in bytes. */
    record(kind: Kind, bytes: number): void {
        this.didSend.fire({ kind, bytes });
    }
}
