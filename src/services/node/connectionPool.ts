import { setFlagsFromString } from "node:v8";
import type { Pool } from "undici";
import methods from "undici/lib/api/index.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import PoolConstructor from "undici/lib/dispatcher/pool.js";

// The index of the package does this, too; it is not loaded, to save memory (see undici.d.ts).
Object.assign(Dispatcher.prototype, methods);

// The parser of the library is WebAssembly. Optimizing it costs each process more memory than the rest of its start and much processor
// time, and calls become no cheaper.
setFlagsFromString("--liftoff-only");

/** Time after which an idle connection is closed, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** Time within which a connection must open, in ms. */
const CONNECT_TIMEOUT_MS = 1_500;

/** Options of a connection pool. */
export interface ConnectionOptions {
    /** CA certificate that verifies the server's certificate. */
    readonly ca?: string;
    /** Maximum number of connections; unlimited if not set. */
    readonly connections?: number;
}

/**
 * Creates a pool of HTTP connections.
 * @param origin Scheme, host and port.
 * @param options Options of the pool.
 * @returns The pool; no connection is opened yet.
 */
export function createPool(origin: string, options: ConnectionOptions = {}): Pool {
    return new PoolConstructor(origin, {
        connections: options.connections,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS, ca: options.ca },
    });
}

const NOT_SENT_CODES = [
    "NOT_SENT",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
];

/** @param error Failure of a request. @returns Whether it is certain that no byte of the request was sent. */
export function isNotSent(error: unknown): boolean {
    return NOT_SENT_CODES.includes((error as { code?: string }).code ?? "");
}
