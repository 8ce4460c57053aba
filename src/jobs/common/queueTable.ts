/** Settings of a queue. Stored with each job that the queue accepts. */
export interface Queue {
    /** Name under which its jobs are recorded. It does not change with the other settings. */
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    /** Service whose workers run the tasks. */
    readonly service: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** How often a task may fail. */
    readonly maxAttempts: number;
    /** The objective of a job is this many times the duration of its longest chain of steps, plus `slackMs`. */
    readonly stretch: number;
    readonly slackMs: number;
    /** Timeout of the queue's callers, in ms. */
    readonly timeoutMs: number;
    /** Settings of the advice service, if the queue's policy uses it. */
    readonly advice?: AdviceSettings;
}

/** Timing of the advice service for a queue. */
export interface AdviceSettings {
    readonly decideMs: number;
    readonly perWorkerMs: number;
    readonly validMs: number;
}

/** Settings of a service. */
export interface Service {
    readonly name: string;
    /** Whether its workers reject tasks that exceed their capacity. */
    readonly rejectsOverload: boolean;
    /** Whether its machines are powered off until they are needed. */
    readonly isStandby: boolean;
}

/** Configuration by the operator. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly services: readonly Service[];
    readonly maxBodyBytes: number;
}

/** A queue and the rest of the path after its prefix. */
export interface ResolvedPath {
    readonly queue: Queue;
    readonly pathSuffix: string;
}

/** Queues and services of the newest configuration. */
export class QueueTable {
    private byHost = new Map<string, Queue[]>();
    private byName = new Map<string, Queue>();
    private configuration: Configuration | undefined;

    private constructor() {}

    /** @returns A table without queues. */
    static create(): QueueTable {
        return new QueueTable();
    }

    /** Version of the configuration in force, or `undefined` before the first. */
    get version(): number | undefined {
        return this.configuration?.version;
    }

    /** Longest body of a request, in bytes, or `undefined` before the first configuration. */
    get maxBodyBytes(): number | undefined {
        return this.configuration?.maxBodyBytes;
    }

    /**
     * Applies a configuration if it is newer than the one in force.
     * @param configuration The configuration.
     * @returns Whether it was applied.
     */
    apply(configuration: Configuration): boolean {
        if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
            return false;
        }
        this.configuration = configuration;
        this.byHost = new Map();
        this.byName = new Map(configuration.queues.map(queue => [queue.name, queue]));
        for (const queue of configuration.queues) {
            const queues = this.byHost.get(queue.host) ?? [];
            queues.push(queue);
            this.byHost.set(queue.host, queues);
        }
        this.byHost.forEach(queues => queues.sort((a, b) => b.prefix.length - a.prefix.length));
        return true;
    }

    /** @returns The queue whose prefix is the longest that matches the path, if any. */
    resolve(host: string, path: string): ResolvedPath | undefined {
        const queue = this.byHost.get(host)?.find(each => path.startsWith(each.prefix));
        return queue === undefined ? undefined : { queue, pathSuffix: path.slice(queue.prefix.length) };
    }

    /**
     * @param accepted A queue as stored with a job.
     * @returns Its newest settings, or the stored ones if it was removed.
     */
    latestSettings(accepted: Queue): Queue {
        return this.byName.get(accepted.name) ?? accepted;
    }

    /** @param name Name of a service. @returns Its settings, if it is configured. */
    service(name: string): Service | undefined {
        return this.configuration?.services.find(each => each.name === name);
    }
}
