import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

const SEND_INTERVAL_MS = 20;

/** Sends a submission of legal size a byte at a time. */
export class SlowSender extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly bodyBytes: number,
    ) {
        super(target);
    }

    /** @param bodyBytes Size of the body. */
    static create(target: HostileTarget, bodyBytes: number): SlowSender {
        return new SlowSender(target, bodyBytes);
    }

    protected abuse(socket: Socket): void {
        const header = this.header(`content-length: ${this.bodyBytes}`);
        let sent = 0;
        const timer = setInterval(() => {
            socket.write(header[sent] ?? "a");
            sent += 1;
        }, SEND_INTERVAL_MS);
        socket.once("close", () => clearInterval(timer));
    }
}
