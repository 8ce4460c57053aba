import { Agent, request as httpRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../../src/proof/node/random";
import { SoakJob, SoakObservation } from "../common/soakEvent";

/** Time for which a caller waits for an answer, in ms. */
const TIMEOUT_MS = 3_000;

/** Bounds of the time until a caller tries again elsewhere, in ms. */
const RETRY_MS = [300, 1_000] as const;

/** Number of attempts of one call. */
const MAX_ATTEMPTS = 12;

/** Host name and path of the queue. */
export const QUEUE = { host: "nony24.example", prefix: "/lohu930/" } as const;

/** Answer of an entry. */
export interface Answer {
    readonly status: number;
    readonly body: string;
}

/** A caller with its own connections, which stays with an entry until a call there fails. */
export class Caller {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });
    private entry: number;

    private constructor(
        private readonly addresses: readonly string[],
        private readonly random: Random,
        private readonly observe: (observation: SoakObservation) => void,
    ) {
        this.entry = random.between(0, addresses.length - 1);
    }

    /** @param addresses Host and port of each entry. @returns The caller. */
    static create(
        addresses: readonly string[],
        random: Random,
        observe: (observation: SoakObservation) => void,
    ): Caller {
        return new Caller(addresses, random, observe);
    }

    /** Submits a job under its ID until it is accepted or the attempts are used up. */
    async submit(job: SoakJob): Promise<void> {
        this.observe({ kind: "submitted", job });
        const { id, ...body } = job;
        const answer = await this.callUntil("POST", id, body, status => status === 200);
        if (answer !== undefined) {
            this.observe({ kind: "accepted", id });
        }
    }

    /** Cancels a job. */
    async cancel(id: string): Promise<void> {
        this.observe({ kind: "cancel-sent", id });
        const isAcknowledged = (status: number) => status === 410 || (status >= 200 && status < 300);
        if ((await this.callUntil("DELETE", id, undefined, isAcknowledged)) !== undefined) {
            this.observe({ kind: "cancel-acknowledged", id });
        }
    }

    /** Reads the state of a job once. @returns Whether the answer says what state it has, or that it has none. */
    async readState(id: string): Promise<boolean> {
        const answer = await this.call("GET", id);
        if (answer?.status === 200) {
            const { state } = JSON.parse(answer.body) as { state: string };
            this.observe({ kind: "state-shown", id, state });
        } else if (answer?.status === 410) {
            this.observe({ kind: "job-not-found", id });
        } else {
            return false;
        }
        return true;
    }

    /** Reads the state of a job, at several entries if need be. */
    async ensureState(id: string): Promise<void> {
        for (let attempt = 0; attempt < this.addresses.length; attempt++) {
            if (await this.readState(id)) {
                return;
            }
        }
        this.observe({ kind: "state-unknown", id });
    }

    dispose(): void {
        this.agent.destroy();
    }

    private async callUntil(
        method: string,
        id: string,
        body: object | undefined,
        isFinal: (status: number) => boolean,
    ): Promise<Answer | undefined> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const answer = await this.call(method, id, body);
            if (answer !== undefined && isFinal(answer.status)) {
                return answer;
            }
            await delay(this.random.between(...RETRY_MS));
        }
        return undefined;
    }

    /** @returns The answer; `undefined` after none, in which case the next call goes to another entry. */
    private async call(method: string, id: string, body?: object): Promise<Answer | undefined> {
        const answer = await sendCall(this.agent, this.addresses[this.entry], method, QUEUE.prefix + id, body);
        if (answer === undefined || answer.status >= 500) {
            this.entry = this.random.between(0, this.addresses.length - 1);
        }
        return answer;
    }
}

/**
 * @param address Host and port.
 * @returns The answer; `undefined` if there is none in time.
 */
export function sendCall(
    agent: Agent,
    address: string,
    method: string,
    path: string,
    body?: object,
): Promise<Answer | undefined> {
    const [hostname, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    const content =
        text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
    const headers = { host: QUEUE.host, "deadline-ms": String(TIMEOUT_MS), ...content };
    return new Promise(resolve => {
        const request = httpRequest({ hostname, port, method, path, headers, agent }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(undefined));
            response.on("close", () => resolve(undefined));
            response.on("end", () =>
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString("utf8") }),
            );
        });
        request.setTimeout(TIMEOUT_MS, () => request.destroy());
        request.on("error", () => resolve(undefined));
        request.end(text);
    });
}
