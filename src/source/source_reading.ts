import type { SourceItem } from "./source_item.ts";

/** Items of the source, and the revision up to which they are complete. */
export interface SourceReading {
  readonly items: readonly SourceItem[];
  readonly revision: number;
}
