import type { RegisterEntry } from "./register_entry.ts";

/** An entry of the register and the state of its removal. */
export interface RegisterRecord {
  readonly entry: RegisterEntry;
  /** When this node recorded the entry's removal, in milliseconds since the Unix epoch; 0 while the entry is listed. */
  readonly removedAt: number;
  /** When a removal counts, in milliseconds since the Unix epoch; infinity while the source fails. Infinity while the entry is listed. */
  readonly removalConfirmedAt: number;
}
