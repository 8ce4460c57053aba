import { HttpResponse, HttpClient } from "../../services/node/httpClient";
import { CommandError } from "./commandError";

/** Time within which an instance must respond. */
const RESPONSE_TIMEOUT_MS = 10_000;

/** Connection options of a command. */
export interface ApiOptions {
    /** Origins of instances, tried in order until one responds. */
    readonly servers: readonly string[];
    readonly key: string;
    readonly authority?: string;
}

/** A request of a command to the HTTP API. */
export interface ApiCall {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
}

/** A response of the HTTP API with a JSON body. */
export interface ApiResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

/** Sends the requests of commands to the instances. */
export class ApiClient {
    private constructor(private readonly options: ApiOptions) {}

    /** @param options Connection options. @returns The client. */
    static create(options: ApiOptions): ApiClient {
        return new ApiClient(options);
    }

    /**
     * @param call The request.
     * @returns The response of the first instance that responds.
     * @throws CommandError when no instance responds, or when a response is not JSON.
     */
    async call(call: ApiCall): Promise<ApiResponse> {
        const client = HttpClient.create({ ca: this.options.authority });
        const failures: string[] = [];
        try {
            for (const origin of this.options.servers) {
                const response = await this.tryServer(client, origin, call, failures);
                if (response !== undefined) {
                    return response;
                }
            }
        } finally {
            client.dispose();
        }
        throw CommandError.create("unreachable", `no instance responded:\n${failures.join("\n")}`);
    }

    private async tryServer(
        client: HttpClient,
        origin: string,
        call: ApiCall,
        failures: string[],
    ): Promise<ApiResponse | undefined> {
        const { key } = this.options;
        const authorization: Record<string, string> = key === "" ? {} : { authorization: `Bearer ${key}` };
        const headers = { ...authorization, ...call.headers };
        try {
            return parseResponse(
                origin,
                await client.call({ origin, ...call, headers, timeoutMs: RESPONSE_TIMEOUT_MS }),
            );
        } catch (error) {
            if (error instanceof CommandError) {
                throw error;
            }
            failures.push(`  ${origin}: ${String(error)}`);
            return undefined;
        }
    }
}

function parseResponse(origin: string, response: HttpResponse): ApiResponse {
    const text = Buffer.from(response.body).toString();
    try {
        return { status: response.status, body: JSON.parse(text) as Record<string, unknown> };
    } catch {
        throw CommandError.create(
            "refused",
            `${origin} responded with status ${response.status} and a body that is not JSON`,
        );
    }
}
