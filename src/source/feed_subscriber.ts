/** The response stream to a neighbour that follows this node's feed. */
export interface FeedSubscriber {
  write(text: string): void;
  end(): void;
}
