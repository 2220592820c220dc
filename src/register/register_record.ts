import type { RegisterEntry } from "./register_entry.ts";

/** An entry with what this node knows of its removal. */
export interface RegisterRecord {
  readonly entry: RegisterEntry;
  /** When the entry was seen to be removed, in milliseconds since the Unix epoch; 0 while it stands. */
  readonly vanishedAt: number;
}
