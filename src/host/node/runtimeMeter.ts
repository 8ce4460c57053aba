import { EventLoopUtilization, performance, PerformanceObserver } from "node:perf_hooks";
import { Disposable } from "../../base/common/disposable";
import { Emitter } from "../../base/common/emitter";
import { RuntimeUse } from "../common/loadRecorder";

const US_PER_MS = 1_000;

/** Measures what the process takes besides its work: time that is not idle, processor time, and garbage collection. */
export class RuntimeMeter implements Disposable {
    private utilization: EventLoopUtilization = performance.eventLoopUtilization();
    private usage = process.cpuUsage();
    private gcMs = 0;
    private readonly didCollect = Emitter.create<number>();
    /** Fires with the duration of each garbage collection, in ms. */
    readonly onDidCollect = this.didCollect.event;
    private readonly observer = new PerformanceObserver(list =>
        list.getEntries().forEach(({ duration }) => this.recordCollection(duration)),
    );

    private constructor() {
        this.observer.observe({ entryTypes: ["gc"] });
    }

    /** @returns A meter that measures from now on. */
    static create(): RuntimeMeter {
        return new RuntimeMeter();
    }

    /** @returns What the process took since the last call, or since the meter was created. */
    take(): RuntimeUse {
        const { active: busyMs } = performance.eventLoopUtilization(this.utilization);
        const { user, system } = process.cpuUsage(this.usage);
        const { gcMs } = this;
        this.utilization = performance.eventLoopUtilization();
        this.usage = process.cpuUsage();
        this.gcMs = 0;
        return { busyMs, cpuMs: (user + system) / US_PER_MS, gcMs };
    }

    /** Stops measuring. */
    dispose(): void {
        this.observer.disconnect();
    }

    private recordCollection(durationMs: number): void {
        this.gcMs += durationMs;
        this.didCollect.fire(durationMs);
    }
}
