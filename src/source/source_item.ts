import type { SourceFact } from "./source_fact.ts";

/** A key of the source and its value. */
export interface SourceItem {
  readonly key: string;
  /** Revision of the source at the item's last change. */
  readonly revision: number;
  /** The decoded value; undefined if the key was removed. */
  readonly fact: SourceFact | undefined;
}
