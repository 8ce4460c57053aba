/** Set of the done tasks of one step, which can be encoded as hexadecimal digits. */
export class DoneSet {
    private readonly bits: boolean[];
    /** Number of done tasks: each pass asks whether all are done. */
    private count: number;

    private constructor(bits: boolean[]) {
        this.bits = bits;
        this.count = bits.reduce((sum, bit) => sum + (bit ? 1 : 0), 0);
    }

    /** @param size Number of tasks. @param packed Digits returned by `pack`. @returns The set. */
    static create(size: number, packed = ""): DoneSet {
        const bits = Array.from({ length: size }, (_, index) => {
            const digit = parseInt(packed[index >> 2] ?? "0", 16);
            return ((digit >> (index & 3)) & 1) === 1;
        });
        return new DoneSet(bits);
    }

    /** @param index Index of a task. @returns Whether it is done. */
    has(index: number): boolean {
        return this.bits[index];
    }

    /** @param index Index of a task that is done. */
    add(index: number): void {
        this.count += this.bits[index] ? 0 : 1;
        this.bits[index] = true;
    }

    /** Adds all tasks. */
    addAll(): void {
        this.bits.fill(true);
        this.count = this.bits.length;
    }

    /** Whether all tasks are done. */
    get isFull(): boolean {
        return this.count === this.bits.length;
    }

    /** Whether no task is done. */
    get isEmpty(): boolean {
        return this.count === 0;
    }

    /** @param size Number of tasks. @returns What `pack` returns of a set in which all are done. */
    static packFull(size: number): string {
        const rest = size % 4;
        return "f".repeat(Math.floor(size / 4)) + (rest === 0 ? "" : ((1 << rest) - 1).toString(16));
    }

    /** @returns One hexadecimal digit for every four tasks, lowest task first. */
    pack(): string {
        let packed = "";
        for (let start = 0; start < this.bits.length; start += 4) {
            const digit = this.bits
                .slice(start, start + 4)
                .reduce((sum, bit, position) => sum + (bit ? 1 << position : 0), 0);
            packed += digit.toString(16);
        }
        return packed;
    }
}
