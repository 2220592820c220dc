import type { FeedValue } from "./feed_value.ts";

/** A key of the source and its value, as sent to a neighbour. */
export interface FeedItem {
  readonly key: string;
  /** Revision of the source at the item's last change. */
  readonly revision: number;
  /** The decoded value; absent if the key was removed. */
  readonly fact?: FeedValue;
}
