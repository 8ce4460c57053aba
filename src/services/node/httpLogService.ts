import { Err, Ok, Result } from "ts-results";
import { LogError, LogPage, LogService, Offset } from "../common/logService";
import { isNotSent } from "./connectionPool";
import { splitFrames } from "./frames";
import { HttpResponse, HttpClient } from "./httpClient";

/** Time within which the log must respond, not counting the time that a read waits, in ms. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Header with the offset of the stream's next append. */
export const HEAD_HEADER = "x-log-head";

/** Header with the oldest offset that remains. */
export const FIRST_HEADER = "x-log-first";

/** Header with the offset of the appended record. */
export const OFFSET_HEADER = "x-log-offset";

/** The log service over HTTP. */
export class HttpLogService extends LogService {
    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
    ) {
        super();
    }

    /** @param origin Scheme, host and port of the log service. @returns The service. */
    static create(origin: string, client: HttpClient): HttpLogService {
        return new HttpLogService(origin, client);
    }

    override async append(stream: string, payload: Uint8Array): Promise<Result<Offset, LogError>> {
        try {
            const response = await this.client.call({
                origin: this.origin,
                method: "POST",
                path: `/streams/${stream}/records`,
                headers: { "content-type": "application/octet-stream" },
                body: payload,
                timeoutMs: RESPONSE_TIMEOUT_MS,
            });
            return response.status === 201
                ? Ok(parseNumberHeader(response, OFFSET_HEADER))
                : Err({ kind: response.status === 503 ? "refused" : "unknown", message: `status ${response.status}` });
        } catch (error) {
            return Err({ kind: isNotSent(error) ? "refused" : "unknown", message: String(error) });
        }
    }

    override async read(stream: string, from: Offset, waitMs: number): Promise<Result<LogPage, LogError>> {
        try {
            const response = await this.client.call({
                origin: this.origin,
                method: "GET",
                path: `/streams/${stream}/records?from=${from}&wait=${waitMs}`,
                timeoutMs: waitMs + RESPONSE_TIMEOUT_MS,
            });
            if (response.status === 410) {
                return Err({ kind: "truncated", first: parseNumberHeader(response, FIRST_HEADER) });
            }
            if (response.status !== 200) {
                return Err({ kind: "refused", message: `status ${response.status}` });
            }
            const records = splitFrames(response.body).map((payload, index) => ({ offset: from + index, payload }));
            return Ok({ records, head: parseNumberHeader(response, HEAD_HEADER) });
        } catch (error) {
            return Err({ kind: "refused", message: String(error) });
        }
    }
}

function parseNumberHeader(response: HttpResponse, name: string): number {
    const value = Number(response.headers[name]);
    if (!Number.isSafeInteger(value)) {
        throw new RangeError(`the log's response has no valid ${name} header`);
    }
    return value;
}
