import { Server } from "node:net";

/**
 * Starts to listen.
 * @param server The server.
 * @param address Host and port.
 * @returns Resolves when the server listens; rejects with the system error.
 */
export function listen(server: Server, address: string): Promise<void> {
    const separator = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
}
