import type { PeerRecord } from "../peers/peer_record.ts";

/** What a node holds of a backend server that it sends calls to. */
export interface BackendServerView {
  /** The estimate of free slots, less the node's own calls sent since it was reported. */
  readonly freeSlots: number;
  /** When free slots were last reported, in milliseconds since the Unix epoch. */
  readonly reportedAt: number;
  /** The peer record that the estimate has taken in. */
  readonly record: PeerRecord | undefined;
  /** When that record came, in milliseconds since the Unix epoch. */
  readonly recordReceivedAt: number;
  /** No call is sent before this instant, in milliseconds since the Unix epoch. */
  readonly avoidedUntil: number;
  /** Failed contacts in a row. */
  readonly failures: number;
  /** Refusals of all work in a row. */
  readonly workRefusals: number;
  /** Whether no process listened there at the last contact. */
  readonly processGone: boolean;
  /** Until this instant no second call is sent while the probing call is out. */
  readonly probingUntil: number;
}
