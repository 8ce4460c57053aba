// Installs the dependencies, unless those of the current lock file are installed already.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

// Copy of the lock file that was installed last.
const INSTALLED_LOCK_FILE = "node_modules/.installed-lock";
const lock = readFileSync("package-lock.json", "utf8");
if (!existsSync(INSTALLED_LOCK_FILE) || readFileSync(INSTALLED_LOCK_FILE, "utf8") !== lock) {
    const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: ["ignore", 2, 2] });
    if (run.status !== 0) {
        process.exit(run.status ?? 1);
    }
    writeFileSync(INSTALLED_LOCK_FILE, lock);
}
