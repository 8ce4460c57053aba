import { StreamView, StreamViews } from "./streamViews";

/** Ages are logged with a decision from this one on, in ms; a shorter one is that of a stream that is read in time. */
const MIN_LOGGED_AGE_MS = 2_500;

/** Ages of the views on which a decision is based, in ms, as fields of its log line. */
export interface ViewAgeFields {
    readonly jobsAgeMs: number | undefined;
    /** `undefined` while the view is current, to keep the lines short. */
    readonly configAgeMs: number | undefined;
    /** `undefined` while the view is current. */
    readonly workersAgeMs: number | undefined;
}

/** Knows how old the views are on which the leader decides. */
export class ViewController {
    private constructor(private readonly views: StreamViews) {}

    /** @param views The streams on which decisions depend. @returns The controller. */
    static create(views: StreamViews): ViewController {
        return new ViewController(views);
    }

    /** @param now Time in ms. @returns Fields for the log line of a decision. */
    ageFields(now: number): ViewAgeFields {
        const { jobs, configuration, workers } = this.views;
        return {
            jobsAgeMs: ageOf(jobs, now),
            configAgeMs: ifOld(ageOf(configuration, now)),
            workersAgeMs: ifOld(ageOf(workers, now)),
        };
    }
}

function ageOf(view: StreamView, now: number): number | undefined {
    return view.knownUntil === undefined ? undefined : Math.round(now - view.knownUntil);
}

function ifOld(ageMs: number | undefined): number | undefined {
    return ageMs === undefined || ageMs < MIN_LOGGED_AGE_MS ? undefined : ageMs;
}
