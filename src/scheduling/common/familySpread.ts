/** Distribution of each family's tasks over racks and failure domains. */
export class FamilySpread {
    private readonly counts = new Map<string, number>();

    private constructor() {}

    /** @returns A distribution without tasks. */
    static create(): FamilySpread {
        return new FamilySpread();
    }

    /** Counts a task. @param family Its family. @param rack Its worker's rack. @param domain Its failure domain. */
    add(family: string, rack: string, domain: string): void {
        for (const key of [family, `${family}/rack/${rack}`, `${family}/domain/${domain}`]) {
            this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
        }
    }

    /** @returns Fraction of the family's tasks in a rack plus the fraction in a failure domain, 0 to 2. */
    concentration(family: string, rack: string, domain: string): number {
        const total = this.counts.get(family) ?? 0;
        const together =
            (this.counts.get(`${family}/rack/${rack}`) ?? 0) + (this.counts.get(`${family}/domain/${domain}`) ?? 0);
        return total === 0 ? 0 : together / total;
    }
}
