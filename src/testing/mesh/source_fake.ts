import type { SourceClient } from "../../source/source_client.ts";
import type { SourceValue } from "../../source/source_value.ts";

/** A source in memory that several nodes can read. */
export interface SourceFake {
  /** Writes an item under the next revision. */
  put(key: string, fact: SourceValue): void;
  /** Removes an item under the next revision. */
  remove(key: string): void;
  /** Comes back from an older copy, which lacks the last changes, with the next era. */
  restoreCopy(options: { readonly changesLost: number }): void;
  /** While the source is down, every read fails. */
  setDown(down: boolean): void;
  /** Makes the source reject the reads of one client; clients count from 0 in the order of their creation. */
  setRejecting(client: number, rejecting: boolean): void;
  /** Returns the number of reads of each client. */
  getReadCounts(): readonly number[];
  createClient(): SourceClient;
}
