/** Slots that a team may use in the whole deployment. */
export interface TeamQuota {
    readonly team: string;
    /** Slots that the team gets whenever it needs them. */
    readonly guaranteedSlots: number;
    /** Maximum slots, including those that other teams leave idle. */
    readonly maxSlots: number;
}

/** Quota of a team without a quota in any ticket. */
export const DEFAULT_QUOTA = { guaranteedSlots: 8, maxSlots: 1_000 };
