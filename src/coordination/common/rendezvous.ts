import murmurhash from "murmurhash";

/**
 * @param key The key.
 * @returns Hash of the key, an unsigned 32-bit number.
 */
export function hash(key: string): number {
    return murmurhash.v3(key);
}

/**
 * @param key The key.
 * @param buckets Number of buckets.
 * @returns Bucket of the key, from 0 to `buckets` - 1.
 */
export function bucketOf(key: string, buckets: number): number {
    return hash(key) % buckets;
}

/**
 * Assigns every item to a member by rendezvous hashing with bounded load: no member gets more than the average
 * rounded up, and a change of the members moves few items.
 * @param items Names of the items.
 * @param members Names of the members.
 * @returns The member of each item; empty when there are no members.
 */
export function assignBalanced(items: readonly string[], members: readonly string[]): Map<string, string> {
    const assigned = new Map<string, string>();
    const load = new Map(members.map(member => [member, 0]));
    const limit = Math.ceil(items.length / members.length);
    for (const item of items) {
        const ranked = [...members].sort((a, b) => hash(`${item}/${b}`) - hash(`${item}/${a}`) || (a < b ? -1 : 1));
        const member = ranked.find(each => load.get(each)! < limit);
        if (member !== undefined) {
            assigned.set(item, member);
            load.set(member, load.get(member)! + 1);
        }
    }
    return assigned;
}
