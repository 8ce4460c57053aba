import { Disposable } from "../common/disposable";

/** Carries out one effect. */
export type PerformEffect<Effect> = (effect: Effect) => void;

/** Decides on one event. `now` is in ms of a clock that never goes back, `wallNow` in ms since the Unix epoch. */
export type DispatchEvent<Event, Effect> = (event: Event, now: number, wallNow: number) => Effect[];

/**
 * The one loop of a process. Events are decided on one at a time, in the order of their arrival; the effects of
 * each are performed before the next event is looked at.
 */
export class Loop<Event, Effect> implements Disposable {
    private readonly queue: Event[] = [];
    private busy = false;
    private timer: NodeJS.Timeout | undefined;
    private disposed = false;

    private constructor(
        private readonly dispatch: DispatchEvent<Event, Effect>,
        private readonly perform: PerformEffect<Effect>,
    ) {}

    /**
     * @param dispatch Decides on one event.
     * @param perform Carries out one effect.
     * @returns A loop that is not ticking yet.
     */
    static create<E, F>(dispatch: DispatchEvent<E, F>, perform: PerformEffect<F>): Loop<E, F> {
        return new Loop(dispatch, perform);
    }

    /** Begins to post an event at regular intervals. @param tick The event. @param intervalMs Interval in ms. */
    startTicking(tick: Event, intervalMs: number): void {
        this.timer = setInterval(() => this.post(tick), intervalMs);
    }

    /** Adds an event; it is decided on before `post` returns unless another one is being decided on. */
    post(event: Event): void {
        if (this.disposed) {
            return;
        }
        this.queue.push(event);
        if (!this.busy) {
            this.run();
        }
    }

    /** Stops the loop; events that arrive later are dropped. */
    dispose(): void {
        this.disposed = true;
        clearInterval(this.timer);
    }

    private run(): void {
        this.busy = true;
        try {
            for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
                this.dispatch(event, performance.now(), Date.now()).forEach(this.perform);
            }
        } finally {
            this.busy = false;
        }
    }
}
