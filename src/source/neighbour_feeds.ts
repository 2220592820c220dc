import type { FeedEndKind } from "./feed_end_kind.ts";
import type { SourcePosition } from "./source_position.ts";
import type { SourceReading } from "./source_reading.ts";

/** Access to the feeds of the nodes in this node's availability zone. */
export interface NeighbourFeeds {
  /** Returns the host to follow now, or undefined if this node should read the source itself. */
  chooseHost(): string | undefined;
  /** Returns whether neighbours follow this node or are expected to. */
  hasFollowers(): boolean;
  /** Follows a host's feed from the position `after`; resolves with the reason when the feed ends. */
  follow(
    host: string,
    options: {
      readonly after: SourcePosition;
      readonly onReading: (reading: SourceReading) => void;
    },
  ): Promise<FeedEndKind>;
  /** Records whether this node's own read of the source succeeded. */
  recordOwnRead(options: { readonly succeeded: boolean }): void;
  /** Ends the feed that is being followed. */
  close(): void;
}
