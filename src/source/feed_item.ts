import type { FeedFact } from "./feed_fact.ts";

/** A key of the source with what it holds, on its way to a neighbour. */
export interface FeedItem {
  readonly key: string;
  /** Revision of the source at the item's last change. */
  readonly revision: number;
  /** Absent where the key was removed. */
  readonly fact?: FeedFact;
}
