import { Listing } from "./instanceList";

/** What the loop learns from the platform's list. */
export type ListEvent =
    | { readonly kind: "instances-listed"; readonly listing: Listing | undefined }
    | { readonly kind: "instances-unlisted" };

/** Asks for the platform's list. */
export interface ListEffect {
    readonly kind: "list-instances";
}
