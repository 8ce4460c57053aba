import { RefusalReason, RequestDescription } from "./request";

/** Event of a caller's request or of an upstream. */
export type RouteEvent =
    | { readonly kind: "request-received"; readonly description: RequestDescription }
    | { readonly kind: "caller-gone"; readonly request: number }
    | { readonly kind: "upstream-response-started"; readonly request: number; readonly attempt: number }
    | {
          readonly kind: "upstream-response-complete";
          readonly request: number;
          readonly attempt: number;
          /** Whether the upstream announced that it closes its connections. */
          readonly isClosing: boolean;
      }
    | {
          readonly kind: "upstream-failed";
          readonly request: number;
          readonly attempt: number;
          /** `not-sent`: no byte of the request was sent. `broken`: the upstream may have run it. */
          readonly certainty: "not-sent" | "broken";
      }
    | { readonly kind: "probe-answered"; readonly worker: string }
    | { readonly kind: "probe-failed"; readonly worker: string };

/** Effect for the front end or for the connections to upstreams. */
export type RouteEffect =
    | {
          readonly kind: "upstream-send";
          readonly request: number;
          readonly attempt: number;
          readonly worker: string;
          readonly address: string;
          /** Time (ms, the loop's clock) after which the request must no longer be sent. */
          readonly deadline: number;
      }
    | { readonly kind: "upstream-abort"; readonly request: number; readonly attempt: number }
    | { readonly kind: "upstream-relay"; readonly request: number; readonly attempt: number }
    | { readonly kind: "upstream-probe"; readonly worker: string; readonly address: string }
    | { readonly kind: "upstream-replace"; readonly worker: string }
    | { readonly kind: "caller-close"; readonly request: number }
    | {
          readonly kind: "caller-refuse";
          readonly request: number;
          readonly outcome: "not-run" | "unknown";
          readonly reason: RefusalReason;
          readonly retryAfterMs: number;
      }
    | {
          readonly kind: "request-measured";
          readonly service: string;
          readonly outcome: "done" | "not-run" | "unknown" | "cut";
          readonly latencyMs: number;
      };
