import { Err, Ok, Result } from "ts-results";
import { InstanceList, InstanceListing } from "../common/instanceList";
import { decodeListing } from "../common/listingDecoder";
import { HttpClient } from "./httpClient";

/** Time within which service discovery must respond, in ms. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Service discovery over HTTP; the list is transferred only if its ETag has changed. */
export class HttpInstanceList extends InstanceList {
    private etag = "";

    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
        private readonly onMalformed: (count: number) => void,
    ) {
        super();
    }

    /**
     * @param origin Scheme, host and port of the platform.
     * @param client HTTP client for the platform.
     * @param onMalformed Called with the number of malformed entries of a list that has some; they are left out.
     * @returns The list.
     */
    static create(origin: string, client: HttpClient, onMalformed: (count: number) => void): HttpInstanceList {
        return new HttpInstanceList(origin, client, onMalformed);
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
            const decoded = decodeListing(Buffer.from(response.body).toString());
            if (decoded === undefined) {
                return Err("the list is malformed");
            }
            if (decoded.malformedCount > 0) {
                this.onMalformed(decoded.malformedCount);
            }
            // A list that cannot be decoded is requested again.
            this.etag = String(response.headers.etag ?? "");
            return Ok(decoded.listing);
        } catch (error) {
            return Err(String(error));
        }
    }
}
