import type { Snapshot } from "../../src/configuration/snapshot.ts";

/** What the baseline node holds. */
export interface PlainNodeState {
  snapshot: Snapshot | undefined;
  /** When the snapshot was put in force, in milliseconds since the Unix epoch. */
  appliedAt: number | undefined;
  /** The platform's revision that was read last. */
  revision: number | undefined;
  /** Reads and watches sent to the platform. */
  platformReads: number;
  /** Bytes of request targets and answer bodies, without heads. */
  bytesSent: number;
  bytesReceived: number;
  messagesReceived: number;
}
