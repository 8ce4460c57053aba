import { TrialSchedule } from "./trialSchedule";

/** Time without disruption after which an instance is in touch again, in ms. */
const STABLE_WINDOW_MS = 4_000;

/** Sender of an order to start, and the time (ms) at which it was sent. */
interface SentStart {
    readonly sender: number;
    readonly sentAt: number;
}

/** Knows which instance sent an order to start, and whether it was in touch. Rules with a time bound hold only then. */
export class OrderSenders {
    private readonly sentStarts = new Map<string, SentStart>();
    /** Time (ms) from which an instance is in touch, by its number. */
    private readonly inTouchFrom = new Map<number, number>();

    private constructor(private readonly schedule: TrialSchedule) {}

    /** @param schedule Clock of the trial. @returns A table without orders; all instances are in touch. */
    static create(schedule: TrialSchedule): OrderSenders {
        return new OrderSenders(schedule);
    }

    /**
     * Records a disruption.
     * @param durationMs How long it lasts, in ms.
     * @param instances Numbers of the instances that are not in touch for its duration and the stable window.
     * @returns Time (ms) at which the stable window after it ends.
     */
    recordDisruption(durationMs: number, instances: readonly number[]): number {
        const until = this.schedule.now + durationMs + STABLE_WINDOW_MS;
        instances.forEach(each => this.inTouchFrom.set(each, Math.max(this.inTouchFrom.get(each) ?? 0, until)));
        return until;
    }

    /** Records that an instance sends an order to start. @param sender Number of the instance. */
    recordOrder(task: string, run: number, sender: number): void {
        this.sentStarts.set(`${task}/${run}`, { sender, sentAt: this.schedule.now });
    }

    /** @returns Number of the instance that ordered a start and was in touch then, or `undefined`. */
    senderInTouch(task: string, run: number): number | undefined {
        const sent = this.sentStarts.get(`${task}/${run}`);
        return sent !== undefined && (this.inTouchFrom.get(sent.sender) ?? 0) <= sent.sentAt ? sent.sender : undefined;
    }
}
