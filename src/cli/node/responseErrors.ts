import { ApiResponse } from "./apiClient";
import { CommandError } from "./commandError";

const SUCCESS_STATUSES = [200, 202];

/**
 * Throws unless a request succeeded.
 * @param response The response.
 * @returns The same response.
 * @throws CommandError with the error message of the instance.
 */
export function expectSuccess(response: ApiResponse): ApiResponse {
    if (SUCCESS_STATUSES.includes(response.status)) {
        return response;
    }
    const { outcome, error, findings } = response.body as { outcome?: string; error?: string; findings?: string[] };
    const message = findings?.join("\n") ?? error ?? JSON.stringify(response.body);
    if (response.status === 400) {
        throw CommandError.create("bad-input", message);
    }
    throw CommandError.create(outcome === "unknown" ? "unknown" : "refused", message);
}
