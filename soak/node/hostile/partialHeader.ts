import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

/** Sends a part of a header and stops; without any bytes, it only keeps the connection open. */
export class PartialHeader extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly bytes: number,
    ) {
        super(target);
    }

    /** @param bytes Size of the part. */
    static create(target: HostileTarget, bytes: number): PartialHeader {
        return new PartialHeader(target, bytes);
    }

    protected abuse(socket: Socket): void {
        if (this.bytes > 0) {
            socket.write(this.header(`x-filler: ${"a".repeat(this.bytes)}`).slice(0, this.bytes));
        }
    }
}
