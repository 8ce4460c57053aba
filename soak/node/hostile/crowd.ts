import { HostileClient } from "./hostileClient";

/** Clients that begin and leave together. */
export class Crowd {
    private constructor(private readonly clients: readonly HostileClient[]) {}

    /** @param size Number of clients. @param create Creates one. @returns The crowd, which has begun. */
    static start(size: number, create: () => HostileClient): Crowd {
        const clients = Array.from({ length: size }, create);
        clients.forEach(each => each.start());
        return new Crowd(clients);
    }

    /** Closes all connections. */
    dispose(): void {
        this.clients.forEach(each => each.dispose());
    }
}
