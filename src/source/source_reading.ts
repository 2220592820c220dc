import type { SourceItem } from "./source_item.ts";

/** The result of one read of the source: items, and the revision up to which they are complete. */
export interface SourceReading {
  readonly items: readonly SourceItem[];
  readonly revision: number;
  /** Bytes of older values of the same keys in the response; absent for none. */
  readonly supersededBytes?: number;
}
