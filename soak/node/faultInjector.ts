import { setTimeout as delay } from "node:timers/promises";
import { FaultKind, PlannedFault } from "../common/plannedFault";
import { SoakObservation } from "../common/soakEvent";
import { Fault } from "./faults/fault";
import { LateOrderFault } from "./faults/lateOrderFault";
import { LinkFault } from "./faults/linkFault";
import { ProcessFault } from "./faults/processFault";
import { StoreFault } from "./faults/storeFault";
import { WorkerFault } from "./faults/workerFault";
import { SoakSite } from "./soakSite";

const FAULTS: Readonly<Record<FaultKind, Fault>> = {
    "kill-all": ProcessFault.create("kill", "all"),
    "kill-some": ProcessFault.create("kill", "targets"),
    "kill-leader": ProcessFault.create("kill", "leader"),
    "pause-all": ProcessFault.create("pause", "all"),
    "pause-some": ProcessFault.create("pause", "targets"),
    "pause-leader": ProcessFault.create("pause", "leader"),
    "terminate-some": ProcessFault.create("terminate", "targets"),
    "terminate-leader": ProcessFault.create("terminate", "leader"),
    "store-refuses": StoreFault.create("refuses"),
    "store-resets": StoreFault.create("resets"),
    "store-silent": StoreFault.create("silent"),
    "store-slow": StoreFault.create("slow"),
    "store-loses-answers": StoreFault.create("loses-answers"),
    "store-executes-late": StoreFault.create("executes-late"),
    "store-link-silent": LinkFault.create("store", "silent"),
    "store-link-to-server": LinkFault.create("store", "to-server"),
    "store-link-to-client": LinkFault.create("store", "to-client"),
    "store-link-reset": LinkFault.create("store", "reset"),
    "store-link-delayed": LinkFault.create("store", "delayed"),
    "store-link-stale": LinkFault.create("store", "stale"),
    "caller-link-silent": LinkFault.create("caller", "silent"),
    "caller-link-to-client": LinkFault.create("caller", "to-client"),
    "caller-link-reset": LinkFault.create("caller", "reset"),
    "caller-link-delayed": LinkFault.create("caller", "delayed"),
    "caller-link-stale": LinkFault.create("caller", "stale"),
    "worker-link-silent": LinkFault.create("worker", "silent"),
    "worker-link-to-server": LinkFault.create("worker", "to-server"),
    "worker-link-to-client": LinkFault.create("worker", "to-client"),
    "worker-link-reset": LinkFault.create("worker", "reset"),
    "worker-link-delayed": LinkFault.create("worker", "delayed"),
    "worker-link-stale": LinkFault.create("worker", "stale"),
    "worker-restarts": WorkerFault.create("same-id"),
    "worker-replaced": WorkerFault.create("new-id"),
    "worker-lost": WorkerFault.create("never"),
    "worker-orders-late": LateOrderFault.create(),
};

/** Injects the faults of a plan at their times. */
export class FaultInjector {
    private constructor(
        private readonly site: SoakSite,
        private readonly observe: (observation: SoakObservation) => void,
        private readonly record: (what: string, fields: object) => void,
    ) {}

    /**
     * @param site The site.
     * @param observe Receives the begin and the end of each disruption.
     * @param record Records a fault.
     * @returns The injector.
     */
    static create(
        site: SoakSite,
        observe: (observation: SoakObservation) => void,
        record: (what: string, fields: object) => void,
    ): FaultInjector {
        return new FaultInjector(site, observe, record);
    }

    /** Injects the faults. @returns When the last one is undone. */
    async play(faults: readonly PlannedFault[]): Promise<void> {
        const inject = async (fault: PlannedFault) => {
            await delay(fault.atMs);
            await this.injectNow(fault);
        };
        await Promise.all(faults.map(inject));
    }

    /** Injects a fault at once, whatever its time is. @returns When it is undone. */
    async injectNow(planned: PlannedFault): Promise<void> {
        const { kind, lastsMs, isSilent } = planned;
        const fault = FAULTS[kind];
        this.observe({ kind: "disruption-began", name: kind });
        const about = fault.begin(this.site, planned);
        this.record("fault", { fault: kind, lastsMs, isSilent, about });
        if (fault.isCalmInBetween) {
            this.observe({ kind: "disruption-ended", name: kind });
        }
        await delay(lastsMs);
        if (fault.isCalmInBetween) {
            this.observe({ kind: "disruption-began", name: kind });
        }
        fault.end(this.site, planned);
        this.record("fault-ended", { fault: kind, about });
        this.observe({ kind: "disruption-ended", name: kind });
    }
}
