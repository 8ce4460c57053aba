import { RecordFollower } from "../../records/common/recordFollower";

/** Whether an instance that starts loads its streams at once, or one at a time. */
export type LoadOrder = "together" | "in-turn";

/** Failure domains of a region from which on so many instances share its link that they load their streams in turn. */
const MIN_DOMAINS_OF_SHARED_LINK = 3;

/**
 * @param failureDomains Region of each failure domain of the deployment.
 * @param region Region of the instance.
 * @returns The order of its loads.
 */
export function loadOrderOf(failureDomains: Readonly<Record<string, string>>, region: string): LoadOrder {
    const count = Object.values(failureDomains).filter(each => each === region).length;
    return count >= MIN_DOMAINS_OF_SHARED_LINK ? "in-turn" : "together";
}

/**
 * Starts to follow streams one after the other, each when the one before has been loaded.
 *
 * Load pattern: all instances of a site restart at once, and those of a region load over one link, on which a new leader calls the workers
 * there. The streams together take as long either way, but each further page in flight makes those calls wait for longer, until they are
 * given up before they are answered.
 */
export class LoadSequence {
    private startedCount = 0;

    private constructor(
        private readonly followers: readonly RecordFollower[],
        private readonly order: LoadOrder,
    ) {}

    /**
     * @param followers Followers in the order of their loads.
     * @param order Whether all are started at once.
     * @returns A sequence that has not begun.
     */
    static create(followers: readonly RecordFollower[], order: LoadOrder): LoadSequence {
        return new LoadSequence(followers, order);
    }

    /** Starts the next follower if those before it have been loaded, or all of them. */
    advance(): void {
        const { followers, order } = this;
        const isLoaded = (follower: RecordFollower) => order === "together" || follower.hasLoaded;
        while (this.startedCount < followers.length && followers.slice(0, this.startedCount).every(isLoaded)) {
            followers[this.startedCount].start();
            this.startedCount += 1;
        }
    }
}
