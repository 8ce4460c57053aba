import { Disposable } from "../common/disposable";

/** Carries out one effect. */
export type PerformEffect<Effect> = (effect: Effect) => void;

/** Handles one event and returns its effects. `now` is monotonic time in ms, `wallNow` is ms since the Unix epoch. */
export type DispatchEvent<Event, Effect> = (event: Event, now: number, wallNow: number) => Effect[];

/** Called with an error that the handling of an event or effect has thrown. */
export type ErrorListener = (error: unknown) => void;

/**
 * The event loop of a process. Events are handled one at a time, in order of arrival; the effects of an event are
 * performed before the next event is handled. An error that is thrown ends the handling of that event or effect only.
 */
export class Loop<Event, Effect> implements Disposable {
    private readonly queue: Event[] = [];
    private isRunning = false;
    private timer: NodeJS.Timeout | undefined;
    private isDisposed = false;
    /** The tick that is not handled yet. A loop that is late gets no further one, since each visits all that may be due. */
    private waitingTick: Event | undefined;

    private constructor(
        private readonly dispatch: DispatchEvent<Event, Effect>,
        private readonly perform: PerformEffect<Effect>,
        private readonly onError: ErrorListener,
    ) {}

    /**
     * @param dispatch Handles one event.
     * @param perform Carries out one effect.
     * @param onError Called with unexpected errors.
     * @returns A loop without a tick timer; see `startTicking`.
     */
    static create<E, F>(dispatch: DispatchEvent<E, F>, perform: PerformEffect<F>, onError: ErrorListener): Loop<E, F> {
        return new Loop(dispatch, perform, onError);
    }

    /**
     * Starts posting an event at intervals.
     * @param createTick Creates the event. `dueAt` is the monotonic time in ms at which it is due; a busy loop handles it later.
     * @param intervalMs Returns the interval to the next tick, in ms.
     * @param post Receives the event; this loop by default.
     */
    startTicking(
        createTick: (dueAt: number) => Event,
        intervalMs: () => number,
        post = (event: Event) => this.post(event),
    ): void {
        const currentMs = intervalMs();
        let nextDueAt = performance.now() + currentMs;
        this.timer = setInterval(() => {
            const dueAt = nextDueAt;
            nextDueAt = performance.now() + currentMs;
            if (intervalMs() !== currentMs) {
                clearInterval(this.timer);
                this.startTicking(createTick, intervalMs, post);
            }
            if (this.waitingTick === undefined) {
                this.waitingTick = createTick(dueAt);
                post(this.waitingTick);
            }
        }, currentMs);
    }

    /** Adds an event. It is handled before `post` returns, unless the loop is still handling an earlier one. */
    post(event: Event): void {
        if (this.isDisposed) {
            return;
        }
        this.queue.push(event);
        if (!this.isRunning) {
            this.run();
        }
    }

    /** Stops the loop; later events are dropped. */
    dispose(): void {
        this.isDisposed = true;
        clearInterval(this.timer);
    }

    private run(): void {
        this.isRunning = true;
        try {
            for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
                this.handle(event);
            }
        } finally {
            this.isRunning = false;
        }
    }

    private handle(event: Event): void {
        this.waitingTick = event === this.waitingTick ? undefined : this.waitingTick;
        let effects: Effect[] = [];
        try {
            effects = this.dispatch(event, performance.now(), Date.now());
        } catch (error) {
            this.onError(error);
        }
        for (const effect of effects) {
            try {
                this.perform(effect);
            } catch (error) {
                this.onError(error);
            }
        }
    }
}
