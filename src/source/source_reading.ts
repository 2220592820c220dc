import type { SourceItem } from "./source_item.ts";
import type { SourcePosition } from "./source_position.ts";

/** The result of one read of the source: items, and the position up to which they are complete. */
export interface SourceReading extends SourcePosition {
  readonly items: readonly SourceItem[];
  /** Bytes of older values of the same keys in the response; absent for none. */
  readonly supersededBytes?: number;
}
