// Runs the tests and prints a summary as the last line: `N passed, N failed`.
import { spawnSync } from "node:child_process";

const run = spawnSync("npx", ["ava", "--tap", ...process.argv.slice(2)], { encoding: "utf8", maxBuffer: 1 << 28 });
process.stdout.write(run.stdout);
process.stderr.write(run.stderr);
const lines = run.stdout.split("\n");
const failed = lines.filter(line => /^not ok /.test(line)).length;
const passed = lines.filter(line => /^ok /.test(line)).length;
console.log(`${passed} passed, ${failed} failed`);
process.exit(run.status === 0 && failed === 0 && passed > 0 ? 0 : 1);
