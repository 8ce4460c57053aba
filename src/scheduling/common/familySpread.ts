/** How the tasks of each family are spread over racks and failure domains. */
export class FamilySpread {
    private readonly counts = new Map<string, number>();

    private constructor() {}

    /** @returns A spread without tasks. */
    static create(): FamilySpread {
        return new FamilySpread();
    }

    /** Counts a task. @param family Its family. @param rack Its worker's rack. @param domain Its failure domain. */
    add(family: string, rack: string, domain: string): void {
        for (const key of [family, `${family}/rack/${rack}`, `${family}/domain/${domain}`]) {
            this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
        }
    }

    /** @returns Share of the family's tasks in a rack plus the share in a failure domain, 0 to 2. */
    share(family: string, rack: string, domain: string): number {
        const total = this.counts.get(family) ?? 0;
        const together =
            (this.counts.get(`${family}/rack/${rack}`) ?? 0) + (this.counts.get(`${family}/domain/${domain}`) ?? 0);
        return total === 0 ? 0 : together / total;
    }
}
