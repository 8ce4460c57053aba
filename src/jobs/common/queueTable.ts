/** A queue as the newest configuration has it. */
export interface Queue {
    /** Name under which its jobs are recorded; it stays when the queue's settings change. */
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    /** Service whose workers run the tasks. */
    readonly service: string;
    /** 0 comes first. */
    readonly priority: number;
    /** How often a task may fail. */
    readonly maxAttempts: number;
    /** The objective is this many times the longest chain of work, and `slackMs` more. */
    readonly stretch: number;
    readonly slackMs: number;
    /** Time a caller of the queue waits at most, in ms. */
    readonly timeoutMs: number;
    /** Terms of the advice service, where the queue's policy needs it. */
    readonly advice?: AdviceTerms;
}

/** How the advice service answers for a queue. */
export interface AdviceTerms {
    readonly decideMs: number;
    readonly perWorkerMs: number;
    readonly validMs: number;
}

/** A service as the newest configuration has it. */
export interface Service {
    readonly name: string;
    /** Whether its workers reject what does not fit. */
    readonly rejectsOverload: boolean;
    /** Whether its machines are off until they are needed. */
    readonly isStandby: boolean;
}

/** What the operator configured. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly services: readonly Service[];
    readonly maxBodyBytes: number;
}

/** A queue and what follows its prefix in the path. */
export interface ResolvedPath {
    readonly queue: Queue;
    readonly rest: string;
}

/** The queues of the newest configuration, by host and prefix. */
export class QueueTable {
    private byHost = new Map<string, Queue[]>();
    private byName = new Map<string, Queue>();
    private configuration: Configuration | undefined;

    private constructor() {}

    /** @returns A table without queues. */
    static create(): QueueTable {
        return new QueueTable();
    }

    /** Version in force, or `undefined` before the first. */
    get version(): number | undefined {
        return this.configuration?.version;
    }

    /** Longest body of a request, in bytes, or `undefined` before the first configuration. */
    get maxBodyBytes(): number | undefined {
        return this.configuration?.maxBodyBytes;
    }

    /**
     * Puts a configuration in force unless a newer one is.
     * @param configuration The configuration.
     * @returns Whether it is in force now and was not before.
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

    /** @returns The queue with the longest prefix that the path begins with, if there is one. */
    resolve(host: string, path: string): ResolvedPath | undefined {
        const queue = this.byHost.get(host)?.find(each => path.startsWith(each.prefix));
        return queue === undefined ? undefined : { queue, rest: path.slice(queue.prefix.length) };
    }

    /** @param accepted A queue as it once was. @returns Its newest settings; if it was removed, those it had. */
    newest(accepted: Queue): Queue {
        return this.byName.get(accepted.name) ?? accepted;
    }

    /** @param name Name of a service. @returns Its settings, if it is configured. */
    service(name: string): Service | undefined {
        return this.configuration?.services.find(each => each.name === name);
    }
}
