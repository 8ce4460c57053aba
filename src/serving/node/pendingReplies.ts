import { DeskEvent, DeskReply } from "../common/deskTraffic";

/** A wish without its number. */
export type UnnumberedRequest = DeskEvent extends infer E
    ? E extends { readonly id: number }
        ? Omit<E, "id">
        : never
    : never;

/** Wishes of callers and operators that have no answer yet. */
export class PendingReplies {
    private readonly waiting = new Map<number, (reply: DeskReply) => void>();
    private nextId = 0;

    private constructor(private readonly post: (event: DeskEvent) => void) {}

    /** @param post Takes the wishes. @returns An empty table. */
    static create(post: (event: DeskEvent) => void): PendingReplies {
        return new PendingReplies(post);
    }

    /** Number of wishes that have no answer yet. */
    get size(): number {
        return this.waiting.size;
    }

    /** @param wish A wish. @returns Its answer. */
    ask(wish: UnnumberedRequest): Promise<DeskReply> {
        this.nextId += 1;
        const id = this.nextId;
        return new Promise(resolve => {
            this.waiting.set(id, resolve);
            this.post({ ...wish, id });
        });
    }

    /** Hands an answer to whoever wished. */
    reply(id: number, reply: DeskReply): void {
        this.waiting.get(id)?.(reply);
        this.waiting.delete(id);
    }
}
