import { Leadership } from "../../../records/common/leadership";

/** The right to lead, as far as orders to workers carry it and their answers support it. */
export type FenceAuthority = Pick<
    Leadership,
    "fence" | "formerRenewal" | "isAwaited" | "leasesMayLastUntil" | "recordUnraised" | "recordWorkerAnswer"
>;
