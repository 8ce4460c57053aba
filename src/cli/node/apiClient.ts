import { HttpAnswer, HttpClient } from "../../services/node/httpClient";
import { CommandError } from "./commandError";

/** Time within which an instance must answer, in ms. */
const ANSWER_TIMEOUT_MS = 10_000;

/** How commands reach the instances. */
export interface ApiOptions {
    /** Origins of instances; the first that answers is used. */
    readonly servers: readonly string[];
    readonly key: string;
    readonly authority?: string;
}

/** A call of a command. */
export interface ApiCall {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
}

/** An answer as data. */
export interface ApiAnswer {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

/** Calls instances for the commands. */
export class ApiClient {
    private constructor(private readonly options: ApiOptions) {}

    /** @param options How to reach the instances. @returns The client. */
    static create(options: ApiOptions): ApiClient {
        return new ApiClient(options);
    }

    /**
     * @param call The call.
     * @returns The answer of the first instance that can be reached.
     * @throws CommandError when none can be reached, or when a call that has an effect was cut off.
     */
    async call(call: ApiCall): Promise<ApiAnswer> {
        const client = HttpClient.create({ ca: this.options.authority });
        const failures: string[] = [];
        try {
            for (const origin of this.options.servers) {
                const answer = await this.try(client, origin, call, failures);
                if (answer !== undefined) {
                    return answer;
                }
            }
        } finally {
            client.dispose();
        }
        throw CommandError.create("unreachable", `no instance answers:\n${failures.join("\n")}`);
    }

    private async try(
        client: HttpClient,
        origin: string,
        call: ApiCall,
        failures: string[],
    ): Promise<ApiAnswer | undefined> {
        const { key } = this.options;
        const authorization: Record<string, string> = key === "" ? {} : { authorization: `Bearer ${key}` };
        const headers = { ...authorization, ...call.headers };
        try {
            return read(origin, await client.call({ origin, ...call, headers, timeoutMs: ANSWER_TIMEOUT_MS }));
        } catch (error) {
            if (error instanceof CommandError) {
                throw error;
            }
            failures.push(`  ${origin}: ${String(error)}`);
            return undefined;
        }
    }
}

function read(origin: string, answer: HttpAnswer): ApiAnswer {
    const text = Buffer.from(answer.body).toString();
    try {
        return { status: answer.status, body: JSON.parse(text) as Record<string, unknown> };
    } catch {
        throw CommandError.create("refused", `${origin} answered ${answer.status} with something else than JSON`);
    }
}
