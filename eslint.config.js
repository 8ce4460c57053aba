import tseslint from "typescript-eslint";

/** Folders of src, lowest layer first. A layer may import only lower layers. */
const LAYERS = [
    ["base"],
    ["services"],
    ["ingress"],
    ["coordination"],
    ["scheduling", "routing"],
    ["records"],
    ["jobs"],
    ["dispatch"],
    ["handover"],
    ["serving", "host"],
    ["platform"],
    ["standin"],
    ["proof"],
    ["cli"],
];

/** Modules that start threads or processes; no layer may import them. */
const PROCESS_MODULES = ["worker_threads", "child_process", "cluster"].flatMap(name => [name, `node:${name}`]);

/** Modules that do input or output. */
const IO_MODULES = ["fs", "http", "https", "net", "crypto", "os", "path", "dgram", "tls", "stream"];

/** Import patterns forbidden in a layer: higher layers, and other folders of the same layer. */
function patternsFor(layerIndex, layer) {
    const higher = LAYERS.slice(layerIndex + 1).flat();
    const sameLayer = LAYERS[layerIndex].filter(name => name !== layer);
    return [...higher, ...sameLayer].map(name => ({
        regex: `(^|/)\\.\\./${name}/`,
        message: `${layer} must not import ${name}`,
    }));
}

function restrict(files, patterns) {
    return {
        files,
        rules: {
            "no-restricted-imports": ["error", { paths: PROCESS_MODULES, patterns }],
        },
    };
}

const layerRules = LAYERS.flatMap((layers, index) =>
    layers.flatMap(layer => {
        const patterns = patternsFor(index, layer);
        const commonPatterns = [
            ...patterns,
            { regex: "/node/", message: "common must not import node" },
            { regex: `^node:(${IO_MODULES.join("|")})`, message: "common must not do input or output" },
        ];
        return [
            restrict([`src/${layer}/node/**/*.ts`], patterns),
            { ...restrict([`src/${layer}/common/**/*.ts`], commonPatterns), ignores: ["**/*.test.ts", "**/*.tool.ts"] },
        ];
    }),
);

export default tseslint.config(
    { ignores: ["out", "dist", "target", "node_modules", "src/generated", "**/*.js", "**/*.mjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "use a string union" },
                {
                    selector: "NewExpression[callee.name=/^(SharedArrayBuffer|Worker)$/]",
                    message: "one loop on one thread",
                },
                { selector: "Literal[raw='null']", message: "use undefined" },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^(I|T)[A-Z][a-z]", match: false } },
            ],
            "@typescript-eslint/switch-exhaustiveness-check": "off",
            "@typescript-eslint/no-unused-vars": ["error", { varsIgnorePattern: "^_", argsIgnorePattern: "^_" }],
            "max-lines": ["error", { max: 420, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
            "no-console": "error",
            eqeqeq: "error",
            // Generators that implement asynchronous interfaces do not always await.
            "@typescript-eslint/require-await": "off",
            quotes: ["error", "double", { avoidEscape: true, allowTemplateLiterals: true }],
        },
    },
    ...layerRules,
    {
        ...restrict(
            ["soak/common/**/*.ts"],
            [
                { regex: "/node/(?!random$)", message: "common must not import node" },
                { regex: `^node:(${IO_MODULES.join("|")})`, message: "common must not do input or output" },
            ],
        ),
        ignores: ["**/*.test.ts"],
    },
    // The soak starts the program in one module only.
    { ...restrict(["soak/node/**/*.ts"], []), ignores: ["soak/node/entryProcess.ts"] },
    // Connect expects null for `sendCompression` to send without compression.
    { files: ["src/services/node/connectClient.ts"], rules: { "no-restricted-syntax": "off" } },
    {
        files: ["**/*.test.ts", "**/*.tool.ts"],
        rules: {
            "max-lines-per-function": "off",
            "no-console": "off",
            // Tests replace methods to prove that the checks detect what then goes wrong.
            "@typescript-eslint/unbound-method": "off",
        },
    },
);
