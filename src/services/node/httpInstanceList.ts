import { Err, Ok, Result } from "ts-results";
import { InstanceList, Listing } from "../common/instanceList";
import { HttpClient } from "./httpClient";

/** Time within which the list must answer, in ms. */
const ANSWER_TIMEOUT_MS = 1_000;

/** The platform's list over HTTP. It is read again only when it has changed. */
export class HttpInstanceList extends InstanceList {
    private tag = "";

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

    override async read(): Promise<Result<Listing | undefined, string>> {
        try {
            const answer = await this.client.call({
                origin: this.origin,
                method: "GET",
                path: "/instances",
                headers: this.tag === "" ? {} : { "if-none-match": this.tag },
                timeoutMs: ANSWER_TIMEOUT_MS,
            });
            if (answer.status === 304) {
                return Ok(undefined);
            }
            if (answer.status !== 200) {
                return Err(`status ${answer.status}`);
            }
            this.tag = String(answer.headers.etag ?? "");
            return Ok(JSON.parse(Buffer.from(answer.body).toString()) as Listing);
        } catch (error) {
            return Err(String(error));
        }
    }
}
