/** Durations of the operations of one peer exchange on a node with `peers` peers, in milliseconds. The names appear in the result files. */
export interface PeerSample {
  readonly peers: number;
  /** Size of an exchange message without changed records, in bytes. */
  readonly messageBytes: number;
  /** Creating an exchange message. */
  readonly create: number;
  /** Applying a received message with 32 newer records. */
  readonly take: number;
  /** Choosing the peers of one push. */
  readonly choose: number;
  /** Applying the platform's list of VMs for the first time. */
  readonly firstList: number;
  /** Applying the same list again. */
  readonly repeatedList: number;
}
