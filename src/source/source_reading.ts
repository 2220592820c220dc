import type { SourceItem } from "./source_item.ts";

/** Items of the source, and the revision up to which they are complete. */
export interface SourceReading {
  readonly items: readonly SourceItem[];
  readonly revision: number;
  /** Bytes of older values of the same keys that came along; absent for none. */
  readonly supersededBytes?: number;
}
