import { ApiAnswer } from "./apiClient";
import { CommandError } from "./commandError";

const OK_STATUSES = [200, 202];

/**
 * Lets only good answers pass.
 * @param answer An answer.
 * @returns The same answer.
 * @throws CommandError with what the instance said.
 */
export function expectOk(answer: ApiAnswer): ApiAnswer {
    if (OK_STATUSES.includes(answer.status)) {
        return answer;
    }
    const { outcome, error, findings } = answer.body as { outcome?: string; error?: string; findings?: string[] };
    const message = findings?.join("\n") ?? error ?? JSON.stringify(answer.body);
    if (answer.status === 400) {
        throw CommandError.create("bad-input", message);
    }
    throw CommandError.create(outcome === "unknown" ? "unknown" : "refused", message);
}
