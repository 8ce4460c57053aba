// Builds what the argument names: `tests` (tests and tools), `binary` or `library`.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
// Libraries in CommonJS need a `require` when they are bundled into a module.
const REQUIRE_BANNER = `import { createRequire } from "node:module"; const require = createRequire(import.meta.url);`;
const common = { bundle: true, platform: "node", target: "node20", loader: { ".yaml": "text" }, logLevel: "warning" };

function find(folder, suffix) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        return entry.isDirectory() ? find(path, suffix) : path.endsWith(suffix) ? [path] : [];
    });
}

async function buildTests() {
    rmSync("out/test", { recursive: true, force: true });
    await build({
        ...common,
        entryPoints: [...find("src", ".test.ts"), ...find("src", ".tool.ts")],
        outdir: "out/test",
        outbase: "src",
        format: "esm",
        splitting: true,
        mainFields: ["module", "main"],
        external: ["ava", "fast-check", "@sinonjs/fake-timers", "xstate"],
        banner: { js: REQUIRE_BANNER },
        sourcemap: "inline",
    });
}

async function buildLibrary() {
    await build({
        ...common,
        entryPoints: ["src/index.ts", "src/coordination/index.ts"],
        outdir: "dist/lib",
        outbase: "src",
        format: "esm",
        splitting: true,
        mainFields: ["module", "main"],
        banner: { js: REQUIRE_BANNER },
    });
    execFileSync("npx", ["tsc", "--emitDeclarationOnly", "--outDir", "dist/types"], { stdio: "inherit" });
}

async function buildBinary() {
    mkdirSync("dist", { recursive: true });
    await build({
        ...common,
        entryPoints: ["src/cli/node/main.ts"],
        outfile: "dist/wigeonstall.cjs",
        format: "cjs",
        mainFields: ["module", "main"],
        minify: true,
        keepNames: true,
    });
    const config = {
        main: "dist/wigeonstall.cjs",
        output: "dist/wigeonstall.blob",
        disableExperimentalSEAWarning: true,
    };
    writeFileSync("dist/sea.json", JSON.stringify(config));
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "pipe" });
    rmSync("dist/wigeonstall", { force: true });
    copyFileSync(process.execPath, "dist/wigeonstall");
    chmodSync("dist/wigeonstall", 0o755);
    const inject = [
        "postject",
        "dist/wigeonstall",
        "NODE_SEA_BLOB",
        "dist/wigeonstall.blob",
        "--sentinel-fuse",
        SEA_FUSE,
    ];
    execFileSync("npx", inject, { stdio: "pipe" });
}

const targets = { tests: buildTests, library: buildLibrary, binary: buildBinary };
for (const name of process.argv.slice(2)) {
    await targets[name]();
}
