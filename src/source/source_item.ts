import type { SourceFact } from "./source_fact.ts";

/** A key of the source with what it holds. */
export interface SourceItem {
  readonly key: string;
  /** Revision of the source at the item's last change. */
  readonly revision: number;
  /** Undefined where the key was removed. */
  readonly fact: SourceFact | undefined;
}
