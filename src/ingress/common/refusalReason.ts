/**
 * Why a client was refused or its connection closed:
 * - `connection-limit`: no connection could be closed for a new one;
 * - `made-room`: it made no progress while others waited for a connection or for room for their bodies;
 * - `idle`, `slow-request`, `slow-answer`: it took too long without a request, to send one, or to read an answer;
 * - `body-too-large`, `body-too-complex`: over the size, or the number of values or the nesting;
 * - `no-room`: bodies of others took all room for as long as it could wait.
 */
export type RefusalReason =
    | "connection-limit"
    | "made-room"
    | "idle"
    | "slow-request"
    | "slow-answer"
    | "body-too-large"
    | "body-too-complex"
    | "no-room";
