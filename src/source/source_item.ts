import type { SourceValue } from "./source_value.ts";

/** A key of the source and its value. */
export interface SourceItem {
  readonly key: string;
  /** Revision of the source at the item's last change. */
  readonly revision: number;
  /** The decoded value; undefined if the key was removed. */
  readonly fact: SourceValue | undefined;
}
