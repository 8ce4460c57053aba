import { isMap, isNode, isSeq, LineCounter, Node, parseDocument, Scalar } from "yaml";
import { Finding } from "./finding";
import { TextPosition } from "./textPosition";

/** A parsed YAML text that knows the position of each value. */
export class YamlText {
    private readonly lines = new LineCounter();
    private parsedDocument: ReturnType<typeof parseDocument> | undefined;

    private constructor(
        private readonly file: string,
        private readonly text: string,
        /** Value of a generated text, which has no errors; it is not parsed for them. */
        private readonly generatedValue?: unknown,
    ) {}

    /**
     * @param text The YAML text.
     * @param file Name of the file, used in positions.
     * @returns The parsed text; syntax errors are in `findings`.
     */
    static create(text: string, file: string): YamlText {
        return new YamlText(file, text);
    }

    /**
     * Parses a text that a program generated in JSON, a part of YAML, in a fraction of the time. Unlike that of YAML, its parser accepts
     * a key that is there twice, so texts that people write are not parsed so.
     * @param text The text in JSON.
     * @param file Name of the file, used in positions.
     * @returns The parsed text.
     * @throws SyntaxError if the text is not JSON.
     */
    static createFromJson(text: string, file: string): YamlText {
        return new YamlText(file, text, JSON.parse(text) as unknown);
    }

    /** The document with its positions, which the value of a generated text does without. */
    private get document(): ReturnType<typeof parseDocument> {
        this.parsedDocument ??= parseDocument(this.text, { lineCounter: this.lines, prettyErrors: false });
        return this.parsedDocument;
    }

    /** Syntax errors of the text. */
    get findings(): Finding[] {
        if (this.generatedValue !== undefined) {
            return [];
        }
        return this.document.errors.map(error => ({
            place: this.positionAt(error.pos[0]),
            message: error.message,
            expected: "valid YAML",
        }));
    }

    /** The text as plain data. */
    get value(): unknown {
        if (this.generatedValue !== undefined) {
            return this.generatedValue;
        }
        return this.document.errors.length > 0 ? undefined : (this.document.toJS() as unknown);
    }

    /**
     * Finds the position of a value. A missing key has the position of the mapping that lacks it.
     * @param path Keys and indices from the root.
     * @param atKey Whether to return the position of the key instead of its value.
     * @returns The position.
     */
    positionOf(path: readonly PropertyKey[], atKey = false): TextPosition {
        let node: unknown = this.document.contents;
        let key: Node | undefined;
        for (const part of path) {
            const pair = isMap(node) ? node.items.find(item => (item.key as Scalar).value === part) : undefined;
            const next = pair?.value ?? (isSeq(node) ? node.items[Number(part)] : undefined);
            if (pair !== undefined) {
                key = pair.key as Node;
            }
            if (!isNode(next)) {
                return this.positionOfNode(key ?? node);
            }
            node = next;
        }
        return this.positionOfNode(atKey && key !== undefined ? key : node);
    }

    private positionOfNode(node: unknown): TextPosition {
        return this.positionAt((node as Node | null)?.range?.[0] ?? 0);
    }

    private positionAt(offset: number): TextPosition {
        const { line, col } = this.lines.linePos(offset);
        return { file: this.file, line: Math.max(line, 1), column: Math.max(col, 1) };
    }
}
