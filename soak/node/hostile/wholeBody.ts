import { Socket } from "node:net";
import { HostileClient, HostileTarget } from "./hostileClient";

/** Sends the same body of legal size again and again: the next one when the former is answered. */
export class WholeBody extends HostileClient {
    private constructor(
        target: HostileTarget,
        private readonly body: Buffer,
    ) {
        super(target);
    }

    /** @param body The body. */
    static create(target: HostileTarget, body: Buffer): WholeBody {
        return new WholeBody(target, body);
    }

    protected abuse(socket: Socket): void {
        const send = () => {
            socket.write(this.header(`content-length: ${this.body.length}`));
            socket.write(this.body);
        };
        socket.on("data", (chunk: Buffer) => chunk.includes("HTTP/1.1") && send());
        send();
    }
}
