import type { ReviewedLoss } from "./reviewedLoss";

/**
 * Number of workers lost under a task in a row from which it is given up, however often workers are lost. Each loss may be
 * a coincidence, so this is the largest number with which a task that crashes its workers is started twice after the third
 * crash, not more.
 */
export const MAX_LOSSES_IN_A_ROW = 5;

/**
 * Number of losses in a row from which a task starts only while no other worker is lost. Up to this number a cut counts, too, since
 * the starts of a task that crashes its workers are bounded whatever explains some of the crashes.
 */
export const LOSSES_BEFORE_CALM = 3;

/** Number of losses beyond these that cuts explain: a task that crashes its workers just before cuts is started once more for it. */
const MAX_CUT_LOSSES = 1;

/** Number of losses in a row that count although another task was accused of them again: one accusation may be wrong. */
const MAX_OTHERS_LOSSES = 1;

/** A loss, and whether another task was accused of it again. */
interface CountedLoss {
    readonly loss: ReviewedLoss;
    readonly isOthers: boolean;
}

/** The workers that were lost under a task in a row. */
export class LossSeries {
    private readonly losses: CountedLoss[] = [];
    private counted: number;

    private constructor(private readonly before: number) {
        this.counted = before;
    }

    /** @param before Number of losses that an earlier leader has counted. @returns The series. */
    static create(before: number): LossSeries {
        return new LossSeries(before);
    }

    /** Number of losses that count. The one from which the task is given up does once other workers have reported. */
    get count(): number {
        return this.counted;
    }

    /** Number of losses to record. A successor does not know what may still explain the latest one, and starts the task no more. */
    get recorded(): number {
        return this.countIf(() => true);
    }

    /** Number of losses of which another task was accused again. */
    get othersCount(): number {
        return this.losses.filter(({ isOthers, loss }) => isOthers && !loss.isExplained).length;
    }

    /** The losses that this leader has seen, the latest one last. */
    get all(): readonly ReviewedLoss[] {
        return this.losses.map(each => each.loss);
    }

    /** Whether the task would be given up if nothing explained its latest losses. */
    get isVerdictAwaited(): boolean {
        return this.recorded >= MAX_LOSSES_IN_A_ROW && this.counted < MAX_LOSSES_IN_A_ROW;
    }

    /** @param loss A loss. @param isOthers Whether another task was accused of it again. */
    add(loss: ReviewedLoss, isOthers: boolean): void {
        this.losses.push({ loss, isOthers });
        this.review();
    }

    /** Counts the losses again. */
    review(): void {
        this.counted = this.countIf(({ loss }) => loss.state === "unexplained" || loss.state === "cut");
    }

    /** @param isFinal Whether a loss counts as the one from which the task is given up. */
    private countIf(isFinal: (each: CountedLoss) => boolean): number {
        let count = this.before;
        let others = 0;
        let cuts = 0;
        for (const each of this.losses) {
            const { loss, isOthers } = each;
            cuts += loss.state === "cut" && count >= LOSSES_BEFORE_CALM ? 1 : 0;
            const isCut = loss.state === "cut" && count >= LOSSES_BEFORE_CALM && cuts <= MAX_CUT_LOSSES;
            others += isOthers ? 1 : 0;
            const isOfOther = isOthers && others > MAX_OTHERS_LOSSES;
            const isLast = count === MAX_LOSSES_IN_A_ROW - 1;
            if (loss.state !== "out-of-reach" && !isCut && !isOfOther && (!isLast || isFinal(each))) {
                count += 1;
            }
        }
        return count;
    }
}
