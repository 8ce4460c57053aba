/** What a team may use, over the whole deployment. */
export interface TeamQuota {
    readonly team: string;
    /** Slots that the team gets when it asks for them. */
    readonly guaranteedSlots: number;
    /** Slots that it may have by borrowing what others leave idle. */
    readonly maxSlots: number;
}

/** Quota of a team that no ticket names. */
export const DEFAULT_QUOTA = { guaranteedSlots: 8, maxSlots: 1_000 };
