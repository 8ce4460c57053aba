import { OutageState } from "./outageRight";

/** A claim, the loss of one or of the office to another instance, or a change of what is known of leases. */
export type OfficeChange =
    | {
          readonly kind: "leader-claimed";
          readonly epoch: number;
          /** The leader that has timed out, if there was one. */
          readonly former: string | undefined;
          /** Time for which it was not seen, and for which it was awaited, in ms. */
          readonly silentMs: number | undefined;
          readonly timeoutMs: number;
      }
    | { readonly kind: "claim-lost"; readonly epoch: number; readonly leader: string | undefined }
    | {
          readonly kind: "leader-deposed";
          readonly epoch: number;
          /** The leader of a later epoch, if it is known. */
          readonly leader: string | undefined;
          /** Age of the latest confirmed renewal, in ms. */
          readonly renewalAgeMs: number;
      }
    | {
          readonly kind: "outage-right";
          readonly state: OutageState;
          readonly fence: number;
          /** Age of the latest confirmed renewal, in ms. */
          readonly renewalAgeMs: number;
      }
    | {
          readonly kind: "former-unraised";
          /** Epoch of the former leader. */
          readonly epoch: number;
          /** Time until all leases have ended that former leaders extended, in ms. */
          readonly formerLeasesMs: number;
      };
