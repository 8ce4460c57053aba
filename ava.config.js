export default {
    files: ["out/test/**/*.test.js"],
    timeout: "120s",
    workerThreads: false,
};
