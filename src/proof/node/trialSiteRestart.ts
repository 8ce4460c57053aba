import { TrialNode } from "./jobTrialNode";
import { SiteRestart, WorkerLoss } from "./siteRestartPlan";
import { MAX_DOWN_MS, TrialInjectorContext, TrialNodeHost } from "./trialInjector";

/** Restarts the whole site of a trial. */
export class TrialSiteRestart {
    private constructor(
        private readonly context: TrialInjectorContext,
        private readonly host: TrialNodeHost,
        private readonly restart: SiteRestart,
    ) {}

    /**
     * Schedules a restart.
     * @param context What it concerns.
     * @param host The instances.
     * @param restart The restart.
     */
    static create(context: TrialInjectorContext, host: TrialNodeHost, restart: SiteRestart): void {
        new TrialSiteRestart(context, host, restart).schedule();
    }

    private schedule(): void {
        const { atMs, outage, losses, secondKillAfterMs } = this.restart;
        const { schedule } = this.context;
        if (outage !== undefined) {
            schedule.add(atMs - outage.beforeMs, () => {
                this.record(`store-down ${outage.lastsMs}`, outage.lastsMs);
                this.context.store.takeDown(outage.lastsMs);
            });
        }
        this.scheduleLostAnswers();
        schedule.add(atMs, () => this.begin());
        losses.forEach(loss => schedule.add(atMs + loss.afterMs, () => this.lose(loss)));
        if (secondKillAfterMs !== undefined) {
            schedule.add(atMs + secondKillAfterMs, () => this.killAgain());
        }
    }

    private scheduleLostAnswers(): void {
        const { atMs, answersLostBeforeMs, leaderMs } = this.restart;
        if (answersLostBeforeMs !== undefined) {
            const lastsMs = answersLostBeforeMs + leaderMs;
            this.context.schedule.add(atMs - answersLostBeforeMs, () => {
                this.record(`lost-answers ${lastsMs}`, lastsMs);
                this.context.store.loseAnswers(lastsMs);
            });
        }
    }

    private begin(): void {
        const { nodes, schedule, workers } = this.context;
        const { isLeaderAlone = false, slowWorkers = [], leaderSide, leaderMs } = this.restart;
        const leader = nodes.find(each => each.instance?.isLeading === true);
        if (leader !== undefined && leaderSide !== undefined) {
            workers.split(`n${leader.index}`, leaderSide, leaderMs);
        }
        slowWorkers.forEach(index => workers.slowDownLink(index, leaderMs));
        const concerned = isLeaderAlone ? nodes.filter(each => each === leader) : nodes;
        concerned.forEach((node, index) =>
            schedule.add(this.restart.killsAfterMs[index], () =>
                node === leader ? this.disturbLeader(node) : this.kill(node),
            ),
        );
    }

    /**
     * A leader that stays away, frozen or cut off disrupts no longer than one that restarts: another one replaces it. If none has, it leads
     * on with what it knew before.
     */
    private disturbLeader(node: TrialNode): void {
        const { leaderFate, leaderMs } = this.restart;
        const { incarnation } = node;
        this.context.schedule.add(leaderMs, () => {
            const leaders = this.context.nodes.filter(each => each.instance?.isLeading === true);
            if (node.incarnation === incarnation && leaders.length === 1 && leaders[0] === node) {
                this.record(`leader n${node.index} leads on`, 0);
            }
        });
        this.record(`leader ${leaderFate} n${node.index} ${leaderMs}`, MAX_DOWN_MS);
        switch (leaderFate) {
            case "killed":
                this.host.kill(node);
                break;
            case "away":
                this.host.kill(node, leaderMs);
                break;
            case "frozen":
                this.host.freeze(node, leaderMs);
                break;
            case "cut":
                node.storeCutUntil = this.context.schedule.now + leaderMs;
                break;
        }
    }

    private kill(node: TrialNode): void {
        this.record(`kill n${node.index}`, MAX_DOWN_MS);
        this.host.kill(node);
    }

    private lose({ kind, cutMs }: WorkerLoss): void {
        const { workers } = this.context;
        const { busiest } = workers;
        this.record(kind === "gone" ? `lose w${busiest}` : `cut w${busiest} ${cutMs}`, 0);
        if (kind === "gone") {
            workers.remove(busiest);
        } else {
            workers.cut(busiest, cutMs);
        }
    }

    /** Kills the instances that work: a leader that is away, frozen or cut off stays so. */
    private killAgain(): void {
        const { nodes, schedule } = this.context;
        const isUp = ({ instance, frozenUntil, storeCutUntil }: TrialNode) =>
            instance !== undefined && schedule.now >= frozenUntil && schedule.now >= storeCutUntil;
        nodes.filter(isUp).forEach(node => this.kill(node));
    }

    private record(fault: string, lastsMs: number): void {
        this.context.trace.push(`${Math.round(this.context.schedule.now)} FAULT ${fault}`);
        this.context.checker.recordDisruption(lastsMs);
    }
}
