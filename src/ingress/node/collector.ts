import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes read from clients after which new garbage is collected, and all of it. */
const MINOR_INTERVAL_BYTES = 2_097_152;
const MAJOR_INTERVAL_BYTES = 33_554_432;

/** Garbage that a closed connection leaves. */
const CLOSED_CONNECTION_BYTES = 16_384;

/** Collects garbage: what is new, or all. */
type Collect = (options: { readonly type: "minor" | "major" }) => void;

/**
 * Collects garbage as clients send. The runtime would let tens of MB of the buffers of its reads pile up, since it goes by the
 * objects that refer to them, which are small. Clients inside the limits send so little that this takes no time worth naming.
 */
export class Collector {
    private minorBytes = 0;
    private majorBytes = 0;
    private collect: Collect | undefined;

    private constructor() {}

    /** @returns A collector that has nothing to do yet. */
    static create(): Collector {
        return new Collector();
    }

    /** Takes note of bytes that were read. */
    recordRead(bytes: number): void {
        this.minorBytes += bytes;
        this.majorBytes += bytes;
        if (this.majorBytes >= MAJOR_INTERVAL_BYTES) {
            this.majorBytes = 0;
            this.minorBytes = 0;
            this.run("major");
        } else if (this.minorBytes >= MINOR_INTERVAL_BYTES) {
            this.minorBytes = 0;
            this.run("minor");
        }
    }

    /** Takes note of a connection that was closed. */
    recordClosed(): void {
        this.recordRead(CLOSED_CONNECTION_BYTES);
    }

    private run(type: "minor" | "major"): void {
        this.collect ??= exposeCollection();
        this.collect({ type });
    }
}

function exposeCollection(): Collect {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as Collect;
}
