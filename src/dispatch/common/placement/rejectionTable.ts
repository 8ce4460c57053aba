import { StepSpec } from "../../../jobs/common/jobSpec";
import { horizonOf } from "./bestEffortPolicy";

interface Rejection {
    readonly step: StepSpec;
    readonly service: string;
    readonly minSpeedPercent: number;
}

/**
 * Steps of best-effort tasks for which no worker was suitable in one scheduling pass. Placements only reduce what is
 * free, so a step that needs as much or more of every resource is not suitable either, and another search is useless.
 */
export class RejectionTable {
    private readonly rejections = new Map<string | undefined, Rejection[]>();

    private constructor() {}

    /** @returns A table without rejections. */
    static create(): RejectionTable {
        return new RejectionTable();
    }

    /**
     * Records that no worker of a service was suitable for a step, apart from limits of its own.
     * @param minSpeedPercent Lowest speed that was accepted, in percent.
     */
    add(step: StepSpec, service: string, minSpeedPercent: number): void {
        const rejection = { step, service, minSpeedPercent };
        const others = (this.rejections.get(step.image) ?? []).filter(each => !isImplied(each, rejection));
        this.rejections.set(step.image, [...others, rejection]);
    }

    /** @returns Whether a rejected step of the same image needed no more than this one, at no higher a speed. */
    covers(step: StepSpec, service: string, minSpeedPercent: number): boolean {
        const asked = { step, service, minSpeedPercent };
        return this.rejections.get(step.image)?.some(each => isImplied(asked, each)) === true;
    }
}

/** @returns Whether a step is rejected, too, if another one of the same image is. */
function isImplied(rejection: Rejection, other: Rejection): boolean {
    return (
        other.service === rejection.service &&
        other.minSpeedPercent <= rejection.minSpeedPercent &&
        needsNoMore(other.step, rejection.step)
    );
}

/** @returns Whether a worker that is suitable for `other` is suitable for `step`, too. Both have the same image. */
function needsNoMore(step: StepSpec, other: StepSpec): boolean {
    const { request, requiredLabel } = step;
    return (
        request.cpuMillis <= other.request.cpuMillis &&
        request.memoryMb <= other.request.memoryMb &&
        request.accelerators <= other.request.accelerators &&
        horizonOf(step) <= horizonOf(other) &&
        (requiredLabel === undefined || requiredLabel === other.requiredLabel)
    );
}
