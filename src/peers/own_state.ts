import type { PeerRecord } from "./peer_record.ts";

/**
 * The fields of this node's record that are determined outside the
 * distribution.
 */
export type OwnState = Pick<
  PeerRecord,
  "state" | "backendServerState" | "freeSlots"
>;
