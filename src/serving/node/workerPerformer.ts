import { WorkerEffect, WorkerEvent } from "../../services/common/workerEvents";
import { HttpClient } from "../../services/node/httpClient";
import { HttpWorker } from "../../services/node/httpWorker";

/** Performs calls to workers. */
export class WorkerPerformer {
    private constructor(
        private readonly client: HttpClient,
        private readonly post: (event: WorkerEvent) => void,
    ) {}

    /** @param client HTTP client for the calls. @param post Posts the results to the loop. @returns The performer. */
    static create(client: HttpClient, post: (event: WorkerEvent) => void): WorkerPerformer {
        return new WorkerPerformer(client, post);
    }

    /** Performs a call. */
    perform(effect: WorkerEffect): void {
        void this.call(effect);
    }

    private async call({ worker, address, call, lease }: WorkerEffect): Promise<void> {
        const result = await HttpWorker.create(`http://${address}`, this.client).exchange(lease);
        if (result.ok) {
            this.post({ kind: "worker-answered", worker, call, report: result.val });
        } else {
            this.post({ kind: "worker-failed", worker, call, error: result.val });
        }
    }
}
