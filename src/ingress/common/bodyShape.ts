const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPENING = [0x5b, 0x7b];
const CLOSING = [0x5d, 0x7d];

/** Limits of a JSON text. */
export interface ShapeLimits {
    readonly maxValues: number;
    readonly maxNesting: number;
}

/**
 * Checks a JSON text before it is parsed, which takes many times its size if it has many short values.
 * @param text The text, which may be malformed.
 * @param limits Limits of its values and their nesting.
 * @returns What is over the limits; `undefined` if nothing is.
 */
export function findShapeFault(text: Uint8Array, { maxValues, maxNesting }: ShapeLimits): string | undefined {
    let values = 1;
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index++) {
        const byte = text[index];
        if (isInString) {
            if (byte === BACKSLASH) {
                index += 1;
            } else if (byte === QUOTE) {
                isInString = false;
            }
        } else if (byte === QUOTE) {
            isInString = true;
        } else if (byte === COMMA) {
            values += 1;
        } else if (OPENING.includes(byte)) {
            values += 1;
            depth += 1;
        } else if (CLOSING.includes(byte)) {
            depth -= 1;
        }
        if (depth > maxNesting) {
            return `the body is nested more than ${maxNesting} deep`;
        }
        if (values > maxValues) {
            return `the body has more than ${maxValues} values`;
        }
    }
    return undefined;
}
