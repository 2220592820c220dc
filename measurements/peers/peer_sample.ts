/** What one exchange, and the taking over of lists, cost a node that knows `peers` others. */
export interface PeerSample {
  readonly peers: number;
  /** Bytes of one message of an exchange without news. */
  readonly messageBytes: number;
  /** Milliseconds to create it. */
  readonly create: number;
  /** Milliseconds to take over a message with 32 newer records. */
  readonly take: number;
  /** Milliseconds to choose the peers of one push. */
  readonly choose: number;
  /** Milliseconds to take over the platform's list for the first time. */
  readonly firstList: number;
  /** Milliseconds to take over the same list again. */
  readonly repeatedList: number;
}
