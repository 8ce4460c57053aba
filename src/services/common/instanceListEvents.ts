import { InstanceListing } from "./instanceList";

/** Result of reading the instance list: the list, `undefined` if it is unchanged, or that the read failed. */
export type InstanceListEvent =
    | { readonly kind: "instances-listed"; readonly listing: InstanceListing | undefined }
    | { readonly kind: "instances-list-failed" };

/** Reads the instance list. */
export interface InstanceListEffect {
    readonly kind: "list-instances";
}
