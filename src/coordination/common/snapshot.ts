import { Offset } from "../../services/common/logService";

/** Entry with the state of its own stream, so that readers can start after older records have been removed. */
export interface SnapshotTaken {
    readonly kind: "snapshot-taken";
    /** The state includes every record below this offset. */
    readonly next: Offset;
    /** Semantic version of the image. */
    readonly format: string;
    /** JSON of a `FoldImage`. */
    readonly image: string;
}

/**
 * @param own Version that the reader writes.
 * @param other Version of a snapshot.
 * @returns Whether the reader can use the snapshot: the major numbers agree.
 */
export function isCompatible(own: string, other: string): boolean {
    return own.split(".")[0] === other.split(".")[0];
}
