import { Err, Ok, Result } from "ts-results";
import { LeaseCall, Worker, WorkerError, WorkerReport } from "../common/worker";
import { isNotSent } from "./connectionPool";
import { decodeReport, encodeCall } from "./workerCodec";
import { HttpClient } from "./httpClient";

/** Time within which a worker must respond, in ms. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Path of a worker's lease endpoint. */
export const LEASE_PATH = "/.worker/leases";

/** A worker over HTTP. */
export class HttpWorker extends Worker {
    private constructor(
        private readonly origin: string,
        private readonly client: HttpClient,
    ) {
        super();
    }

    /** @param origin Scheme, host and port of the worker. @returns The worker. */
    static create(origin: string, client: HttpClient): HttpWorker {
        return new HttpWorker(origin, client);
    }

    override async exchange(call: LeaseCall): Promise<Result<WorkerReport, WorkerError>> {
        try {
            const response = await this.client.call({
                origin: this.origin,
                method: "POST",
                path: LEASE_PATH,
                headers: { "content-type": "application/x-protobuf" },
                body: encodeCall(call),
                timeoutMs: RESPONSE_TIMEOUT_MS,
            });
            return response.status === 200
                ? Ok(decodeReport(response.body, call.shard))
                : Err({
                      kind: "refused",
                      message: `status ${response.status}: ${Buffer.from(response.body).toString()}`,
                  });
        } catch (error) {
            return Err({ kind: isNotSent(error) ? "refused" : "unreachable", message: String(error) });
        }
    }
}
