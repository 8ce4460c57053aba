/**
 * Converts the kind of a message to the name of its `oneof` case in the generated code.
 * @param kind A kind, for example `task-assigned`.
 * @returns The case, for example `taskAssigned`.
 */
export function toCase(kind: string): string {
    return kind.replace(/-(.)/g, (_, letter: string) => letter.toUpperCase());
}

/**
 * Converts the name of a `oneof` case in the generated code to the kind of a message.
 * @param name A case, for example `taskAssigned`.
 * @returns The kind, for example `task-assigned`.
 */
export function toKind(name: string): string {
    return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/**
 * Strips the fields that the generated code adds to messages.
 * @param value A decoded message or a part of one.
 * @returns The same data in plain objects.
 */
export function toPlain(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(toPlain);
    }
    if (!(value instanceof Object)) {
        return value;
    }
    const entries = Object.entries(value).filter(([key]) => !key.startsWith("$"));
    return Object.fromEntries(entries.map(([key, each]) => [key, toPlain(each)]));
}
