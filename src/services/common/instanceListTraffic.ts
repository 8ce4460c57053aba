import { Listing } from "./instanceList";

/** Results of reading the instance list; `instances-unlisted` means that the read failed. */
export type InstanceListEvent =
    | { readonly kind: "instances-listed"; readonly listing: Listing | undefined }
    | { readonly kind: "instances-unlisted" };

/** Reads the instance list. */
export interface InstanceListEffect {
    readonly kind: "list-instances";
}
