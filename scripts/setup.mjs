// Installs what the project declares, unless that has been done for the present lock file.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const MARK = "node_modules/.installed-lock";
const lock = readFileSync("package-lock.json", "utf8");
if (!existsSync(MARK) || readFileSync(MARK, "utf8") !== lock) {
    const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: ["ignore", 2, 2] });
    if (run.status !== 0) {
        process.exit(run.status ?? 1);
    }
    writeFileSync(MARK, lock);
}
