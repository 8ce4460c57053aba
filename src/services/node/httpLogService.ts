import { Err, Ok, Result } from "ts-results";
import { LogError, LogPage, LogService, Offset } from "../common/logService";
import { isNotSent } from "./connectionPool";
import { splitFrames } from "./frames";
import { HttpAnswer, HttpClient } from "./httpClient";

/** Time within which the log must answer, besides the time that a read waits, in ms. */
const ANSWER_TIMEOUT_MS = 2_000;

/** Header with the offset that the stream's next append gets. */
export const HEAD_HEADER = "x-log-head";

/** Header with the oldest offset that is left. */
export const FIRST_HEADER = "x-log-first";

/** Header with the offset of the record that was appended. */
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
            const answer = await this.client.call({
                origin: this.origin,
                method: "POST",
                path: `/streams/${stream}/records`,
                headers: { "content-type": "application/octet-stream" },
                body: payload,
                timeoutMs: ANSWER_TIMEOUT_MS,
            });
            return answer.status === 201
                ? Ok(numberHeader(answer, OFFSET_HEADER))
                : Err({ kind: answer.status === 503 ? "refused" : "unknown", message: `status ${answer.status}` });
        } catch (error) {
            return Err({ kind: isNotSent(error) ? "refused" : "unknown", message: String(error) });
        }
    }

    override async read(stream: string, from: Offset, waitMs: number): Promise<Result<LogPage, LogError>> {
        try {
            const answer = await this.client.call({
                origin: this.origin,
                method: "GET",
                path: `/streams/${stream}/records?from=${from}&wait=${waitMs}`,
                timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
            });
            if (answer.status === 410) {
                return Err({ kind: "truncated", first: numberHeader(answer, FIRST_HEADER) });
            }
            if (answer.status !== 200) {
                return Err({ kind: "refused", message: `status ${answer.status}` });
            }
            const records = splitFrames(answer.body).map((payload, index) => ({ offset: from + index, payload }));
            return Ok({ records, head: numberHeader(answer, HEAD_HEADER) });
        } catch (error) {
            return Err({ kind: "refused", message: String(error) });
        }
    }
}

function numberHeader(answer: HttpAnswer, name: string): number {
    const value = Number(answer.headers[name]);
    if (!Number.isSafeInteger(value)) {
        throw new RangeError(`the log's answer has no valid ${name}`);
    }
    return value;
}
