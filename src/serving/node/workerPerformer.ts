import { WorkerEffect, WorkerEvent } from "../../services/common/workerTraffic";
import { HttpClient } from "../../services/node/httpClient";
import { HttpWorker } from "../../services/node/httpWorker";

/** Carries out what decisions ask of workers. */
export class WorkerPerformer {
    private constructor(
        private readonly client: HttpClient,
        private readonly post: (event: WorkerEvent) => void,
    ) {}

    /** @param client Makes the calls. @param post Takes the answers. @returns The performer. */
    static create(client: HttpClient, post: (event: WorkerEvent) => void): WorkerPerformer {
        return new WorkerPerformer(client, post);
    }

    /** Carries out an effect. */
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
