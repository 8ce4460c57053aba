import { ApiRequest, ApiReply } from "../common/apiMessages";

/** An API request before it has been assigned its id. */
export type UnnumberedRequest = ApiRequest extends infer E
    ? E extends { readonly id: number }
        ? Omit<E, "id">
        : never
    : never;

/** Tracks API requests of callers and operators until their replies arrive. */
export class PendingReplies {
    private readonly resolvers = new Map<number, (reply: ApiReply) => void>();
    private nextId = 0;

    private constructor(private readonly post: (event: ApiRequest) => void) {}

    /** @param post Posts a request to the loop. @returns An empty table. */
    static create(post: (event: ApiRequest) => void): PendingReplies {
        return new PendingReplies(post);
    }

    /** Number of requests without a reply. */
    get size(): number {
        return this.resolvers.size;
    }

    /** Posts a request. @param request The request. @returns Its reply. */
    submit(request: UnnumberedRequest): Promise<ApiReply> {
        this.nextId += 1;
        const id = this.nextId;
        return new Promise(resolve => {
            this.resolvers.set(id, resolve);
            this.post({ ...request, id });
        });
    }

    /** Resolves the request with an id. */
    resolve(id: number, reply: ApiReply): void {
        this.resolvers.get(id)?.(reply);
        this.resolvers.delete(id);
    }
}
