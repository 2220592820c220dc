import type { PeerRecord } from "../peers/peer_record.ts";

/** What a node knows of a backend server that it sends calls to. */
export interface BackendServerView {
  /** Estimated free slots: the last reported number less this node's own calls sent since then. */
  readonly freeSlots: number;
  /** When free slots were last reported, in milliseconds since the Unix epoch. */
  readonly reportedAt: number;
  /** The latest peer record that was applied to this view. */
  readonly record: PeerRecord | undefined;
  /** When `record` was received, in milliseconds since the Unix epoch. */
  readonly recordReceivedAt: number;
  /**
   * End of the current backoff, before which no call is sent, in milliseconds
   * since the Unix epoch.
   */
  readonly avoidedUntil: number;
  /** Number of consecutive failed contacts; determines the backoff. */
  readonly failures: number;
  /** Number of consecutive refusals with a reason that applies to all new calls. */
  readonly workRefusals: number;
  /** Whether the last contact showed that no process listens at the node's address. */
  readonly processGone: boolean;
  /**
   * Until when a call sent as a probe keeps further calls away, in milliseconds
   * since the Unix epoch.
   */
  readonly probingUntil: number;
}
