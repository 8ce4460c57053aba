import { Err, Ok, Result } from "ts-results";
import { InstanceList, InstanceListing } from "../common/instanceList";
import { HttpClient } from "./httpClient";

/** Time within which service discovery must respond, in ms. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Service discovery over HTTP; the list is transferred only if its ETag has changed. */
export class HttpInstanceList extends InstanceList {
    private etag = "";

    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
    ) {
        super();
    }

    /** @param origin Scheme, host and port of the platform. @returns The list. */
    static create(origin: string, client: HttpClient): HttpInstanceList {
        return new HttpInstanceList(origin, client);
    }

    override async read(): Promise<Result<InstanceListing | undefined, string>> {
        try {
            const response = await this.client.call({
                origin: this.origin,
                method: "GET",
                path: "/instances",
                headers: this.etag === "" ? {} : { "if-none-match": this.etag },
                timeoutMs: RESPONSE_TIMEOUT_MS,
            });
            if (response.status === 304) {
                return Ok(undefined);
            }
            if (response.status !== 200) {
                return Err(`status ${response.status}`);
            }
            this.etag = String(response.headers.etag ?? "");
            return Ok(JSON.parse(Buffer.from(response.body).toString()) as InstanceListing);
        } catch (error) {
            return Err(String(error));
        }
    }
}
