import { RuleChecker } from "../ruleChecker";
import { SiteState } from "../siteState";
import { SoakEvent } from "../soakEvent";

/** Each log line is a JSON object that says its time and its event. */
export class LogLineChecker extends RuleChecker {
    /** @param site State of the site. @returns The checker. */
    static create(site: SiteState): LogLineChecker {
        return new LogLineChecker("log-line", site);
    }

    override observe(event: SoakEvent): void {
        if (event.kind === "log-line") {
            this.check(
                isLogLine(event.text),
                event.atMs,
                `${event.node} logs an invalid line: ${event.text.slice(0, 200)}`,
            );
        }
    }
}

function isLogLine(text: string): boolean {
    try {
        const value = JSON.parse(text) as Record<string, unknown> | undefined;
        return typeof value?.time === "string" && typeof value.event === "string";
    } catch {
        return false;
    }
}
