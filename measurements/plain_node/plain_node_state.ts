import type { Snapshot } from "../../src/configuration/snapshot.ts";

/** The mutable state of a plain node. */
export interface PlainNodeState {
  /** The configuration in force; undefined until one was read. */
  snapshot: Snapshot | undefined;
  /** When the snapshot was put in force, in milliseconds since the Unix epoch. */
  appliedAt: number | undefined;
  /** The platform's revision of the last value read. */
  revision: number | undefined;
  /** Read and watch requests sent to the platform. */
  platformReads: number;
  /** Bytes of request targets, without HTTP heads. */
  bytesSent: number;
  /** Bytes of response bodies, without HTTP heads. */
  bytesReceived: number;
  messagesReceived: number;
}
