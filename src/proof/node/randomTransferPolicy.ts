import {
    ShardOption,
    TaskOption,
    TaskTransferRequest,
    TransferPolicy,
    TransferRequest,
} from "../../dispatch/common/shards/transferPolicy";
import { Random } from "./random";

/** Transfers jobs and tasks at random, whatever room there is, so that trials have many transfers. */
export class RandomTransferPolicy extends TransferPolicy {
    private constructor(
        private readonly random: Random,
        private readonly ratio: number,
    ) {
        super();
    }

    /**
     * @param seed Seed of the draws.
     * @param ratio Probability with which a job is transferred each time that it may be, from 0 to 1.
     * @returns The policy.
     */
    static create(seed: number, ratio: number): RandomTransferPolicy {
        return new RandomTransferPolicy(Random.create(seed), ratio);
    }

    override choose(
        _request: TransferRequest,
        _own: ShardOption,
        others: readonly ShardOption[],
    ): ShardOption | undefined {
        return this.chooseAny(others);
    }

    override chooseForTask(
        { isStaying }: TaskTransferRequest,
        _own: TaskOption,
        others: readonly TaskOption[],
    ): TaskOption | undefined {
        return isStaying ? undefined : this.chooseAny(others);
    }

    private chooseAny<Option>(others: readonly Option[]): Option | undefined {
        return others.length > 0 && this.random.chance(this.ratio) ? this.random.pick([...others]) : undefined;
    }
}
