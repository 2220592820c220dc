/** Messages in transit between the parts of a model. Those of one channel keep their order. */
export interface ModelledNetwork {
  send(channel: string, deliver: () => void): void;
  /** Drops what is in transit on a channel. */
  drop(channel: string): void;
  /** Returns the channels on which messages are in transit. */
  listChannels(): readonly string[];
  /** Delivers the first message of a channel. */
  deliver(channel: string): void;
}
