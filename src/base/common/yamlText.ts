import { isMap, isNode, isSeq, LineCounter, Node, parseDocument, Scalar } from "yaml";
import { Finding } from "./finding";
import { Place } from "./place";

/** A YAML text whose values can be traced back to their places. */
export class YamlText {
    private constructor(
        private readonly file: string,
        private readonly document: ReturnType<typeof parseDocument>,
        private readonly lines: LineCounter,
    ) {}

    /**
     * @param text The YAML text.
     * @param file Name of the file, for places.
     * @returns The parsed text; syntax faults are in `findings`.
     */
    static create(text: string, file: string): YamlText {
        const lines = new LineCounter();
        return new YamlText(file, parseDocument(text, { lineCounter: lines, prettyErrors: false }), lines);
    }

    /** Syntax faults of the text. */
    get findings(): Finding[] {
        return this.document.errors.map(error => ({
            place: this.placeAt(error.pos[0]),
            message: error.message,
            expected: "valid YAML",
        }));
    }

    /** The text as plain data. */
    get value(): unknown {
        return this.document.errors.length > 0 ? undefined : (this.document.toJS() as unknown);
    }

    /**
     * Finds where a value stands. A key that is missing has the place of the mapping that lacks it.
     * @param path Keys and indices from the root.
     * @param atKey Whether the place of the key rather than of its value is wanted.
     * @returns The place.
     */
    place(path: readonly PropertyKey[], atKey = false): Place {
        let node: unknown = this.document.contents;
        let key: Node | undefined;
        for (const part of path) {
            const pair = isMap(node) ? node.items.find(item => (item.key as Scalar).value === part) : undefined;
            const next = pair?.value ?? (isSeq(node) ? node.items[Number(part)] : undefined);
            if (pair !== undefined) {
                key = pair.key as Node;
            }
            if (!isNode(next)) {
                return this.placeOf(key ?? node);
            }
            node = next;
        }
        return this.placeOf(atKey && key !== undefined ? key : node);
    }

    private placeOf(node: unknown): Place {
        return this.placeAt((node as Node | null)?.range?.[0] ?? 0);
    }

    private placeAt(offset: number): Place {
        const { line, col } = this.lines.linePos(offset);
        return { file: this.file, line: Math.max(line, 1), column: Math.max(col, 1) };
    }
}
