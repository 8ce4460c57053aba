export type { Transport } from "@connectrpc/connect";
export type { UniversalClientFn, UniversalHandler } from "@connectrpc/connect/protocol";
