import tseslint from "typescript-eslint";

const LAYERS = [
    ["base"],
    ["services"],
    ["coordination"],
    ["scheduling", "routing"],
    ["records"],
    ["jobs"],
    ["dispatch"],
    ["serving", "host"],
    ["platform"],
    ["standin"],
    ["proof"],
    ["cli"],
];

const PROCESS_MODULES = ["worker_threads", "child_process", "cluster"].flatMap(name => [name, `node:${name}`]);

const NODE_MODULES = ["fs", "http", "https", "net", "crypto", "os", "path", "dgram", "tls", "stream"];

/** Modules that a file of a layer must not import, besides those that nothing may import. */
function patternsFor(layerIndex, layer) {
    const above = LAYERS.slice(layerIndex + 1).flat();
    const beside = LAYERS[layerIndex].filter(name => name !== layer);
    return [...above, ...beside].map(name => ({
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
        const pure = [
            ...patterns,
            { regex: "/node/", message: "common must not import node" },
            { regex: `^node:(${NODE_MODULES.join("|")})`, message: "common does no input or output" },
        ];
        return [
            restrict([`src/${layer}/node/**/*.ts`], patterns),
            { ...restrict([`src/${layer}/common/**/*.ts`], pure), ignores: ["**/*.test.ts", "**/*.tool.ts"] },
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
            // Asynchronous interfaces are implemented by generators that need not wait.
            "@typescript-eslint/require-await": "off",
            quotes: ["error", "double", { avoidEscape: true, allowTemplateLiterals: true }],
        },
    },
    ...layerRules,
    // The library wants a null where it compresses nothing.
    { files: ["src/services/node/connectClient.ts"], rules: { "no-restricted-syntax": "off" } },
    {
        files: ["**/*.test.ts", "**/*.tool.ts"],
        rules: {
            "max-lines-per-function": "off",
            "no-console": "off",
            // Tests replace methods to show that their absence is noticed.
            "@typescript-eslint/unbound-method": "off",
        },
    },
);
