// Builds the targets named by the arguments: `tests` (tests and tools), `soak` (the soak of real processes), `binary` or
// `library`. `--out FOLDER` sets the output folder of the binary.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { parse } from "yaml";

const { values, positionals: targetNames } = parseArgs({
    options: { out: { type: "string", default: "dist" } },
    allowPositionals: true,
});
const { out } = values;
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
// Modules that scripts/report.mjs imports from the output.
const REPORT_MODULES = ["src/proof/common/knownFailureList.ts", "src/proof/common/testVerdict.ts"];
// CommonJS libraries need `require` when they are bundled into an ES module.
const REQUIRE_BANNER = `import { createRequire } from "node:module"; const require = createRequire(import.meta.url);`;
const commonOptions = {
    bundle: true,
    platform: "node",
    target: "node20",
    loader: { ".yaml": "text" },
    logLevel: "warning",
};

// Charts are parsed at each start of a process: the binary has them in JSON, which takes a fraction of the time.
const chartPlugin = {
    name: "charts",
    setup({ onLoad }) {
        onLoad({ filter: /\.chart\.yaml$/ }, ({ path }) => ({
            contents: JSON.stringify(parse(readFileSync(path, "utf8"))),
            loader: "text",
        }));
    },
};

function findFiles(folder, suffix) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        return entry.isDirectory() ? findFiles(path, suffix) : path.endsWith(suffix) ? [path] : [];
    });
}

function buildModules(entryPoints, outdir, outbase) {
    return build({
        ...commonOptions,
        entryPoints,
        outdir,
        outbase,
        format: "esm",
        splitting: true,
        mainFields: ["module", "main"],
        external: ["ava", "fast-check", "@sinonjs/fake-timers", "xstate"],
        banner: { js: REQUIRE_BANNER },
        sourcemap: "inline",
    });
}

async function buildTests() {
    rmSync("out/test", { recursive: true, force: true });
    const entryPoints = [...findFiles("src", ".test.ts"), ...findFiles("src", ".tool.ts"), ...REPORT_MODULES];
    await buildModules(entryPoints, "out/test", "src");
    await buildModules(findFiles("soak", ".test.ts"), "out/test/soak", "soak");
}

async function buildSoak() {
    rmSync("out/soak", { recursive: true, force: true });
    await buildModules(findFiles("soak", ".tool.ts"), "out/soak", "soak");
}

async function buildLibrary() {
    await build({
        ...commonOptions,
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
    const binary = `${out}/wigeonstall`;
    mkdirSync(out, { recursive: true });
    await build({
        ...commonOptions,
        entryPoints: ["src/cli/node/main.ts"],
        outfile: `${out}/wigeonstall.cjs`,
        format: "cjs",
        mainFields: ["module", "main"],
        minify: true,
        keepNames: true,
        plugins: [chartPlugin],
    });
    const seaConfig = {
        main: `${out}/wigeonstall.cjs`,
        output: `${out}/wigeonstall.blob`,
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
    };
    writeFileSync(`${out}/sea.json`, JSON.stringify(seaConfig));
    execFileSync(process.execPath, ["--experimental-sea-config", `${out}/sea.json`], { stdio: "pipe" });
    rmSync(binary, { force: true });
    copyFileSync(process.execPath, binary);
    chmodSync(binary, 0o755);
    const postjectArguments = [
        "postject",
        binary,
        "NODE_SEA_BLOB",
        `${out}/wigeonstall.blob`,
        "--sentinel-fuse",
        SEA_FUSE,
    ];
    execFileSync("npx", postjectArguments, { stdio: "pipe" });
}

const targets = { tests: buildTests, soak: buildSoak, library: buildLibrary, binary: buildBinary };
for (const name of targetNames) {
    await targets[name]();
}
